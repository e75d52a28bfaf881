@0xb3c1f0a7d2e49561;

# Facts about a field that the generator carries into the Python code and
# into the settings reference.

annotation unit(field) :Text;
annotation doc(struct, field, enum, enumerant) :Text;
annotation low(field) :Float64;
annotation high(field) :Float64;
annotation ident(field) :Text;       # the NewType that wraps this value
annotation section(struct) :Text;    # the INI section that the struct reads
