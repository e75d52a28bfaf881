@0xb3c1f0a7d2e49561;

# Annotations that the generator writes into the Python code and into the
# settings reference.

annotation unit(field) :Text;
annotation doc(struct, field, enum, enumerant) :Text;
annotation low(field) :Float64;
annotation high(field) :Float64;
annotation ident(field) :Text;       # NewType that wraps the value
annotation section(struct) :Text;    # INI section that the struct is read from
