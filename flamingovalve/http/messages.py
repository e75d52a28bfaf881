"""Data classes of HTTP requests and responses."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass, field
from functools import cached_property
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

from flamingovalve.errors import ErrorKind, ServingError

if TYPE_CHECKING:
    from collections.abc import Iterable

JSON_TYPE = 'application/json'

HeaderList = list[tuple[str, str]]

# Hop-by-hop headers, including those that frame the body.
_CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)


def end_to_end(lines: HeaderList) -> HeaderList:
    """Return the headers that a proxy forwards, without hop-by-hop ones."""
    return [
        (name, text)
        for name, text in lines
        if name.lower() not in _CONNECTION_HEADERS
    ]


def header_list(raw: Iterable[tuple[bytes, bytes]]) -> HeaderList:
    """Decode headers; keep their order and spelling."""
    return [
        (name.decode('latin-1'), text.decode('latin-1')) for name, text in raw
    ]


def header_map(
    raw: Iterable[tuple[bytes, bytes]],
) -> dict[str, str]:
    """Return headers by lower-case name; the last duplicate wins."""
    return {
        name.decode('latin-1').lower(): text.decode('latin-1')
        for name, text in raw
    }


@dataclass
class Request:
    """One HTTP request read from a caller.

    :ivar target: path and query as sent
    :ivar headers: header values by lower-case name
    :ivar header_lines: headers in the order and spelling received, with
        duplicates
    """

    method: str
    target: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    header_lines: HeaderList = field(default_factory=list)

    @cached_property
    def path(self) -> str:
        """Path of the target, without the query."""
        return urlsplit(self.target).path

    @cached_property
    def query(self) -> dict[str, str]:
        """Parameters of the query; the last duplicate wins."""
        parsed = parse_qs(urlsplit(self.target).query)
        return {name: texts[-1] for name, texts in parsed.items()}

    def json_object(self) -> dict[str, Any]:
        """Return the body parsed as a JSON object.

        :raises ServingError: if it is not a JSON object
        """
        try:
            parsed = json.loads(self.body)
        except (ValueError, RecursionError) as error:
            raise ServingError(
                ErrorKind.MALFORMED_REQUEST,
                f'the body is not valid JSON ({error}); send a JSON object',
            ) from error
        if not isinstance(parsed, dict):
            raise ServingError(
                ErrorKind.MALFORMED_REQUEST,
                'the body is JSON but not an object; send a JSON object',
            )
        return parsed


@dataclass
class Response:
    """One HTTP response.

    :ivar ends_with_connection: whether its body is delimited by the end of the
        connection, as nothing shows that it is complete
    """

    status: int
    headers: HeaderList = field(default_factory=list)
    body: bytes = b''
    ends_with_connection: bool = False

    @classmethod
    def from_json(
        cls,
        content: object,
        status: int = 200,
        headers: HeaderList | None = None,
    ) -> Response:
        """Build a response whose body is ``content`` as JSON."""
        return cls(
            status,
            [('content-type', JSON_TYPE), *(headers or [])],
            json.dumps(content, separators=(',', ':')).encode(),
        )

    @classmethod
    def from_error(cls, error: ServingError) -> Response:
        """Build the response that reports ``error``."""
        headers: HeaderList = []
        if error.retry_after is not None:
            seconds = max(1, math.ceil(error.retry_after))
            headers.append(('retry-after', str(seconds)))
        return cls.from_json(error.to_json(), error.kind.status, headers)

    def header(self, name: str) -> str | None:
        """Return the value of the header with the lower-case ``name``."""
        for candidate, text in self.headers:
            if candidate == name:
                return text
        return None
