"""Generates typed Python code and the settings page from the schemas."""

from __future__ import annotations

import math
import re
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import capnp

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

SCHEMA_DIRECTORY: Final = Path(__file__).parent
GENERATED_DIRECTORY: Final = SCHEMA_DIRECTORY.parent / 'generated'
DOCS_DIRECTORY: Final = SCHEMA_DIRECTORY.parent.parent / 'docs'

SCALARS: Final = {
    'bool': 'bool',
    'uint32': 'int',
    'uint64': 'int',
    'float64': 'float',
    'text': 'str',
    'data': 'bytes',
}

SETTINGS_HEAD: Final = '''"""Typed settings and inventory, generated from settings.capnp."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Final

'''

IDS_HEAD: Final = '''"""Distinct types of names and numbers, generated from both schemas."""

from typing import NewType

'''

MESSAGES_HEAD: Final = '''"""Typed messages between VMs, generated from peer.capnp."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any, Final

import capnp

'''

MESSAGES_SCHEMA: Final = """
_SCHEMA: Final = capnp.load(
    str(Path(__file__).parent.parent / 'schema' / 'peer.capnp'),
)

"""


def snake(name: str) -> str:
    """Convert a camel-case Cap'n Proto name to snake case."""
    return re.sub('([A-Z])', r'_\1', name).lower()


def _scalar_of(slot_type: Any) -> str:
    """Return the scalar type of a field, or of the elements of a list."""
    which = slot_type.which()
    return slot_type.list.elementType.which() if which == 'list' else which


class Annotations:
    """Reads the annotations of schema nodes and fields."""

    def __init__(self) -> None:
        """Load the names and ids of the annotations."""
        schema = (SCHEMA_DIRECTORY / 'annotations.capnp').read_text('ascii')
        self._names = re.findall(r'annotation (\w+)\(', schema)
        module = capnp.load(str(SCHEMA_DIRECTORY / 'annotations.capnp'))
        self._by_id = {
            node.id: node.name for node in module.schema.node.nestedNodes
        }

    def of(self, owner: Any) -> dict[str, Any]:
        """Return the annotations of a node or a field by name."""
        return {
            self._by_id[entry.id]: getattr(entry.value, entry.value.which())
            for entry in owner.annotations
            if entry.id in self._by_id
        }


class Generator:
    """Generates Python source from one schema file."""

    def __init__(self, path: Path) -> None:
        """Load the schema at ``path``."""
        self.module = capnp.load(str(path))
        self.annotations = Annotations()
        self.names = [node.name for node in self.module.schema.node.nestedNodes]

    def nodes(self, kind: str) -> Iterator[tuple[str, Any]]:
        """Yield the name and schema of each node of one kind.

        :param kind: ``struct`` or ``enum``
        """
        for name in self.names:
            member = getattr(self.module, name)
            schema = getattr(member, 'schema', member)
            if schema.node.which() == kind:
                yield name, schema

    def identifiers(self) -> dict[str, str]:
        """Return the type that each NewType of the file wraps, by name."""
        found: dict[str, str] = {}
        for _name, schema in self.nodes('struct'):
            for proto in self.plain_fields(schema):
                ident = self.annotations.of(proto).get('ident')
                if ident:
                    found[ident] = SCALARS[_scalar_of(proto.slot.type)]
        return found

    def plain_fields(self, schema: Any) -> list[Any]:
        """Return the fields of a struct outside its union."""
        return [
            proto
            for proto in schema.node.struct.fields
            if proto.discriminantValue == 65535
        ]

    def union_fields(self, schema: Any) -> list[Any]:
        """Return the members of a struct's union, ordered by discriminant."""
        members = [
            proto
            for proto in schema.node.struct.fields
            if proto.discriminantValue != 65535
        ]
        return sorted(members, key=lambda proto: proto.discriminantValue)

    def type_name(self, slot_type: Any) -> str:
        """Return the schema name of a struct or enum type.

        :raises LookupError: if this schema file does not define the type
        """
        which = slot_type.which()
        wanted = getattr(slot_type, which).typeId
        for name in self.names:
            member = getattr(self.module, name)
            if getattr(member, 'schema', member).node.id == wanted:
                return name
        raise LookupError(f'type {wanted:x} is not in this schema file')

    def python_type(self, proto: Any) -> str:
        """Return the Python type of a field."""
        ident = self.annotations.of(proto).get('ident')
        if ident and proto.slot.type.which() == 'list':
            return f'list[{ident}]'
        return ident or self.slot_type(proto.slot.type)

    def slot_type(self, slot_type: Any) -> str:
        """Return the Python type of a Cap'n Proto type."""
        which = slot_type.which()
        if which in SCALARS:
            return SCALARS[which]
        if which == 'list':
            return f'list[{self.slot_type(slot_type.list.elementType)}]'
        return self.type_name(slot_type)

    def default(self, proto: Any) -> str:
        """Return the default of a field as Python source."""
        which = proto.slot.type.which()
        if which == 'list':
            return 'factory=list'
        if which == 'struct':
            return f'factory={self.type_name(proto.slot.type)}'
        default_value = proto.slot.defaultValue
        raw = getattr(default_value, default_value.which())
        if which == 'enum':
            name = self.type_name(proto.slot.type)
            return f'{name}.{snake(self.enum_labels(name)[raw]).upper()}'
        if which == 'float64':
            return repr(raw) if math.isfinite(raw) else f"float('{raw}')"
        source = repr(bytes(raw) if which == 'data' else raw)
        ident = self.annotations.of(proto).get('ident')
        return f'{ident}({source})' if ident else source

    def enum_labels(self, name: str) -> list[str]:
        """Return the schema names of an enum, ordered by number."""
        member = getattr(self.module, name)
        schema = getattr(member, 'schema', member)
        return [
            label.name
            for label in sorted(
                schema.node.enum.enumerants,
                key=lambda label: label.codeOrder,
            )
        ]

    def emit_imports(self) -> Iterator[str]:
        """Yield the import of the NewTypes that the file uses."""
        yield 'from flamingovalve.generated.ids import (\n'
        for ident in sorted(self.identifiers()):
            yield f'    {ident},\n'
        yield ')\n'

    def emit_enums(self, label_of: Callable[[str], str]) -> Iterator[str]:
        """Yield an Enum class for each enum of the file.

        :param label_of: returns the value of a member by its schema name
        """
        for name, schema in self.nodes('enum'):
            doc = self.annotations.of(schema.node)['doc']
            yield f'\n\nclass {name}(Enum):\n    """{doc}"""\n\n'
            for label in self.enum_labels(name):
                yield f"    {snake(label).upper()} = '{label_of(label)}'\n"

    def emit_dataclass(self, name: str, schema: Any) -> Iterator[str]:
        """Yield one struct as a dataclass."""
        doc = self.annotations.of(schema.node).get('doc', '')
        yield '\n\n@dataclass(slots=True)\n'
        yield f'class {name}:\n    """{doc}'
        fields = self.plain_fields(schema)
        described = [
            f'    :ivar {snake(proto.name)}: {self.describe(proto)}\n'
            for proto in fields
            if self.describe(proto)
        ]
        if described:
            yield '\n\n'
            yield from described
            yield '    '
        yield '"""\n\n'
        for proto in fields:
            yield self.emit_field(proto)
        if self.union_fields(schema) and name == 'Datagram':
            yield '    content: Ping | Ack | PingRequest = field(\n'
            yield '        default_factory=Ping,\n    )\n'

    def describe(self, proto: Any) -> str:
        """Return the description of a field and its unit, on one line."""
        annotations = self.annotations.of(proto)
        text = annotations.get('doc', '')
        if 'unit' in annotations:
            text = f'{text} In {annotations["unit"]}.'.strip()
        return text

    def emit_field(self, proto: Any) -> str:
        """Return one dataclass field with its unit and range."""
        annotations = self.annotations.of(proto)
        keys = [key for key in ('unit', 'low', 'high') if key in annotations]
        metadata = ', '.join(f'{key!r}: {annotations[key]!r}' for key in keys)
        default = self.default(proto)
        prefix = 'default_' if default.startswith('factory') else 'default='
        metadata_argument = f', metadata={{{metadata}}}' if metadata else ''
        return (
            f'    {snake(proto.name)}: {self.python_type(proto)} = '
            f'field({prefix}{default}{metadata_argument})\n'
        )

    def emit_codec(self, name: str, schema: Any) -> Iterator[str]:
        """Yield the writer and the reader of one struct."""
        fields = self.plain_fields(schema)
        union = self.union_fields(schema)
        yield f'\n\ndef write_{snake(name)[1:]}('
        yield f'builder: Any, message: {name}) -> None:\n'
        yield f'    """Fill ``builder`` from a :class:`{name}`."""\n'
        for proto in fields:
            yield from self.emit_write(proto)
        if union:
            yield '    member = _MEMBERS[type(message.content)]\n'
            yield '    _WRITERS[member](builder.init(member), message.content)\n'
        yield f'\n\ndef read_{snake(name)[1:]}(reader: Any) -> {name}:\n'
        yield f'    """Build a :class:`{name}` from ``reader``."""\n'
        yield f'    return {name}(\n'
        for proto in fields:
            yield f'        {snake(proto.name)}={self.emit_read(proto)},\n'
        if union:
            yield '        content=_READERS[reader.which()]'
            yield '(getattr(reader, reader.which())),\n'
        yield '    )\n'

    def emit_write(self, proto: Any) -> Iterator[str]:
        """Yield the lines that write one field."""
        name = snake(proto.name)
        which = proto.slot.type.which()
        if which == 'enum':
            yield f'    builder.{proto.name} = message.{name}.value\n'
        elif which == 'struct':
            writer = f'write_{snake(self.type_name(proto.slot.type))[1:]}'
            yield f'    {writer}(builder.{proto.name}, message.{name})\n'
        elif which == 'list' and self.is_struct_list(proto):
            element = self.type_name(proto.slot.type.list.elementType)
            writer = f'write_{snake(element)[1:]}'
            yield f"    {name} = builder.init('{proto.name}', "
            yield f'len(message.{name}))\n'
            yield f'    for index, entry in enumerate(message.{name}):\n'
            yield f'        {writer}({name}[index], entry)\n'
        else:
            yield f'    builder.{proto.name} = message.{name}\n'

    def emit_read(self, proto: Any) -> str:
        """Return the expression that reads one field."""
        which = proto.slot.type.which()
        source = f'reader.{proto.name}'
        if which == 'enum':
            return f'{self.type_name(proto.slot.type)}(str({source}))'
        if which == 'struct':
            reader = f'read_{snake(self.type_name(proto.slot.type))[1:]}'
            return f'{reader}({source})'
        if which == 'list' and self.is_struct_list(proto):
            element = self.type_name(proto.slot.type.list.elementType)
            return f'[read_{snake(element)[1:]}(entry) for entry in {source}]'
        if which == 'list':
            return f'list({source})'
        ident = self.annotations.of(proto).get('ident')
        return f'{ident}({source})' if ident else source

    def is_struct_list(self, proto: Any) -> bool:
        """Return whether the elements of a list field are structs."""
        return proto.slot.type.list.elementType.which() == 'struct'


def emit_ids(*generators: Generator) -> str:
    """Return the source of ``generated/ids.py``."""
    found: dict[str, str] = {}
    for generator in generators:
        found.update(generator.identifiers())
    lines = [
        f"{ident} = NewType('{ident}', {wraps})\n"
        for ident, wraps in sorted(found.items())
    ]
    return ''.join((IDS_HEAD, *lines))


def emit_settings(generator: Generator) -> str:
    """Return the source of ``generated/settings.py``."""
    parts = [SETTINGS_HEAD, *generator.emit_imports()]
    parts.extend(generator.emit_enums(snake))
    sections = []
    for name, schema in generator.nodes('struct'):
        parts.extend(generator.emit_dataclass(name, schema))
        section = generator.annotations.of(schema.node).get('section')
        if section:
            sections.append((section, name))
    parts.append('\n\n@dataclass(slots=True)\nclass Settings:\n')
    parts.append('    """All settings of one daemon, by INI section."""\n\n')
    for section, name in sections:
        parts.append(f'    {section}: {name} = ')
        parts.append(f'field(default_factory={name})\n')
    parts.append('\n\nSECTIONS: Final[dict[str, type]] = {\n')
    parts.extend(f"    '{section}': {name},\n" for section, name in sections)
    parts.append('}\n')
    return ''.join(parts)


def emit_messages(generator: Generator) -> str:
    """Return the source of ``generated/messages.py``."""
    parts = [MESSAGES_HEAD, *generator.emit_imports(), MESSAGES_SCHEMA]
    parts.extend(generator.emit_enums(str))
    unions = {}
    for name, schema in generator.nodes('struct'):
        if generator.union_fields(schema):
            unions[name] = schema
        if name not in {'Rumour', 'Frame'}:
            parts.extend(generator.emit_dataclass(name, schema))
            parts.extend(generator.emit_codec(name, schema))
    parts.extend(emit_union_tables(generator, unions))
    parts.extend(_emit_rumour_codec())
    parts.extend(_emit_entry_points())
    return ''.join(parts)


def emit_union_tables(
    generator: Generator,
    unions: dict[str, Any],
) -> Iterator[str]:
    """Yield the tables of union members and of their codecs."""
    members = [
        (proto.name, generator.type_name(proto.slot.type))
        for schema in unions.values()
        for proto in generator.union_fields(schema)
    ]
    yield '\n\n_MEMBERS: Final[dict[type, str]] = {\n'
    yield from (f"    {kind}: '{name}',\n" for name, kind in members)
    yield '}\n\n_WRITERS: Final[dict[str, Any]] = {\n'
    for name, kind in members:
        yield f"    '{name}': write_{snake(kind)[1:]},\n"
    yield '}\n\n_READERS: Final[dict[str, Any]] = {\n'
    for name, kind in members:
        yield f"    '{name}': read_{snake(kind)[1:]},\n"
    yield '}\n'


def _emit_rumour_codec() -> Iterable[str]:
    return (
        '\n\ndef write_rumour(builder: Any, message: Any) -> None:\n',
        '    """Fill ``builder`` from any rumour."""\n',
        '    member = _MEMBERS[type(message)]\n',
        '    _WRITERS[member](builder.init(member), message)\n',
        '\n\ndef read_rumour(reader: Any) -> Any:\n',
        '    """Build the rumour that ``reader`` holds."""\n',
        '    member = reader.which()\n',
        '    return _READERS[member](getattr(reader, member))\n',
    )


def _emit_entry_points() -> Iterator[str]:
    yield '\n\ndef encode_frame(message: Any) -> bytes:\n'
    yield '    """Return the encoded bytes of one frame."""\n'
    yield '    builder = _SCHEMA.Frame.new_message()\n'
    yield '    write_rumour(builder, message)\n'
    yield '    return builder.to_bytes()\n'
    yield '\n\ndef decode_frame(content: bytes) -> Any:\n'
    yield '    """Return the message decoded from one frame."""\n'
    yield '    with _SCHEMA.Frame.from_bytes(content) as reader:\n'
    yield '        return read_rumour(reader)\n'
    yield '\n\ndef encode_datagram(message: Datagram) -> bytes:\n'
    yield '    """Return the packed bytes of one datagram."""\n'
    yield '    builder = _SCHEMA.Datagram.new_message()\n'
    yield '    write_datagram(builder, message)\n'
    yield '    return builder.to_bytes_packed()\n'
    yield '\n\ndef decode_datagram(content: bytes) -> Datagram:\n'
    yield '    """Return the message decoded from one datagram."""\n'
    yield '    reader = _SCHEMA.Datagram.from_bytes_packed(content)\n'
    yield '    return read_datagram(reader)\n'


def emit_reference(generator: Generator) -> str:
    """Return the settings reference page in Markdown."""
    parts = [
        '# Settings reference\n\n',
        'Generated from `flamingovalve/schema/settings.capnp`. Each',
        ' daemon reads one INI file; omitted settings have their defaults.\n',
    ]
    for _name, schema in generator.nodes('struct'):
        annotations = generator.annotations.of(schema.node)
        if 'section' not in annotations:
            continue
        parts.append(
            f'\n## [{annotations["section"]}]\n\n{annotations["doc"]}\n\n'
        )
        parts.append('| setting | default | unit | range | meaning |\n')
        parts.append('| --- | --- | --- | --- | --- |\n')
        parts.extend(
            _reference_row(generator, proto)
            for proto in generator.plain_fields(schema)
        )
    return ''.join(parts)


def _reference_row(generator: Generator, proto: Any) -> str:
    annotations = generator.annotations.of(proto)
    bounds = ''
    if 'low' in annotations:
        bounds = f'{annotations["low"]:g} to {annotations["high"]:g}'
    default = generator.default(proto)
    default = re.sub(r"^\w+\('(.*)'\)$", r"'\1'", default)
    default = default.rsplit('.', 1)[-1] if default[0].isupper() else default
    return (
        f'| `{snake(proto.name)}` | `{default.lower()}` '
        f'| {annotations.get("unit", "")} | {bounds} | {annotations["doc"]} |\n'
    )


def main() -> None:
    """Write the generated Python modules and the settings page."""
    settings = Generator(SCHEMA_DIRECTORY / 'settings.capnp')
    messages = Generator(SCHEMA_DIRECTORY / 'peer.capnp')
    outputs = {
        GENERATED_DIRECTORY / 'ids.py': emit_ids(settings, messages),
        GENERATED_DIRECTORY / 'settings.py': emit_settings(settings),
        GENERATED_DIRECTORY / 'messages.py': emit_messages(messages),
        DOCS_DIRECTORY / 'settings.md': emit_reference(settings),
    }
    for path, text in outputs.items():
        path.write_text(text, 'utf-8')


if __name__ == '__main__':
    main()
