"""How the body of a response is delimited, and what its end proves."""

from __future__ import annotations

import json
import re
from enum import Enum
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from flamingovalve.errors import ConnectionLost

if TYPE_CHECKING:
    from collections.abc import Mapping

EVENT_STREAM_TYPE: Final = 'text/event-stream'
_LINE_ENDS: Final = b'\r\n'
# A line ends in CR LF, in LF or in CR; an empty line ends an event. The
# possessive quantifier keeps one CR LF from counting as two line ends.
_EVENT_END: Final = re.compile(rb'(?:\r\n?+|\n){2}')
_LINE_END: Final = re.compile(rb'\r\n?+|\n')
_ID: Final = b'id:'
_FIELD: Final = re.compile(rb'(?:\A|[\r\n])[^:\r\n]')
_NO_BODY: Final = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
_FIRST_SUCCESS: Final = 200
_LAST_SUCCESS: Final = 299
MAX_EVENT_BYTES: Final = 1024**2
MAX_EVENT_PARTS: Final = 4096


class Framing(Enum):
    """How the end of a body is found (RFC 9112, section 6.3).

    :cvar LENGTH: by its length, which is known in advance
    :cvar CHUNKED: by its last chunk
    :cvar CONNECTION: by the end of its connection
    """

    LENGTH = 'length'
    CHUNKED = 'chunked'
    CONNECTION = 'connection'

    @classmethod
    def of_response(
        cls, method: str, status: int, headers: Mapping[str, str]
    ) -> Framing:
        """Return the framing of the response to a request.

        :param headers: header values by lower-case name
        """
        if method == 'HEAD' or status in _NO_BODY:
            return cls.LENGTH
        if 'transfer-encoding' in headers:
            return cls.CHUNKED
        if 'content-length' in headers:
            return cls.LENGTH
        return cls.CONNECTION


class BodyKind(Enum):
    """What the reader of a body expects it to be.

    :cvar OPAQUE: any bytes
    :cvar EVENTS: a stream of events, at least one
    :cvar JSON: one JSON value, or nothing
    """

    OPAQUE = 'opaque'
    EVENTS = 'events'
    JSON = 'json'


class BodyEnd(Enum):
    """How a body has ended, as far as its bytes and its framing tell.

    :cvar OPEN: it has not been read to its end
    :cvar WHOLE: its framing shows that it is complete
    :cvar UNPROVEN: its connection ended in order, and nothing shows whether
        more was due
    :cvar INSIDE_EVENT: it ended before the end of an event
    :cvar BEFORE_EVENT: its connection ended before the first event
    :cvar INSIDE_JSON: its connection ended before the end of its JSON value
    :cvar LOST: its connection broke, or the end that its framing requires is
        missing
    :cvar EXCESSIVE: it exceeded a bound before its end
    """

    OPEN = 'open'
    WHOLE = 'whole'
    UNPROVEN = 'unproven'
    INSIDE_EVENT = 'inside_event'
    BEFORE_EVENT = 'before_event'
    INSIDE_JSON = 'inside_json'
    LOST = 'lost'
    EXCESSIVE = 'excessive'


_EARLY_REASONS: Final = {
    BodyEnd.INSIDE_EVENT: 'the stream ended in the middle of an event',
    BodyEnd.BEFORE_EVENT: 'the stream ended before its first event',
    BodyEnd.INSIDE_JSON: 'the body ended in the middle of its JSON value',
}


class EventBuffer:
    """Splits a stream into complete events.

    :ivar has_event: whether an event has ended; comments are none
    :ivar ended: number of empty lines that have ended an event or a comment
    """

    def __init__(self) -> None:
        """Start before the first event."""
        self.has_event = False
        self.ended = 0
        self._rest = bytearray()
        self._parts = 0

    def feed(self, received: bytes) -> bytes:
        """Append received bytes.

        :returns: the events that they complete, as they were received
        :raises ConnectionLost: if one event exceeds ``MAX_EVENT_BYTES``, or
            arrives in over ``MAX_EVENT_PARTS`` parts
        """
        # The last event that ends here ends with the last empty line.
        start = max(len(self._rest) - len(_LINE_ENDS), 0)
        self._rest += received
        end = 0
        for found in _EVENT_END.finditer(self._rest, start):
            end = found.end()
            self.ended += 1
        complete = bytes(self._rest[:end])
        del self._rest[:end]
        self._parts = 0 if complete else self._parts + 1
        if len(self._rest) > MAX_EVENT_BYTES or self._parts > MAX_EVENT_PARTS:
            raise ConnectionLost('an event of the stream has no end')
        if not self.has_event:
            self.has_event = _FIELD.search(complete) is not None
        return complete

    def take_rest(self) -> bytes:
        """Return what follows the last complete event, and forget it."""
        rest = bytes(self._rest)
        self._rest.clear()
        return rest

    def is_inside_event(self) -> bool:
        """Return whether an event has begun and not ended."""
        return bool(self._rest.strip(_LINE_ENDS))


def last_event_id(events: bytes) -> str | None:
    """Return the last id in complete events; None if they have none."""
    for line in reversed(_LINE_END.split(events)):
        if line.startswith(_ID):
            return line.removeprefix(_ID).strip().decode('latin-1')
    return None


class ReceivedBody:
    """The body of one response, as far as it has been received.

    :ivar framing: how its end is found
    :ivar end: how it ended
    """

    def __init__(self, framing: Framing, kind: BodyKind) -> None:
        """Expect a body of ``kind``."""
        self.framing = framing
        self.end = BodyEnd.OPEN
        self._kind = kind
        self._events = EventBuffer()
        self._json = bytearray()

    @classmethod
    def of_response(
        cls,
        method: str,
        status: int,
        headers: Mapping[str, str],
        expected: BodyKind,
    ) -> ReceivedBody:
        """Return the body that follows the head of a response.

        :param method: method of the request
        :param headers: header values by lower-case name
        :param expected: kind of the body of a success
        """
        framing = Framing.of_response(method, status, headers)
        kind = BodyKind.OPAQUE
        if _FIRST_SUCCESS <= status <= _LAST_SUCCESS:
            kind = expected
            media_type = headers.get('content-type', '').lower()
            if media_type.startswith(EVENT_STREAM_TYPE):
                kind = BodyKind.EVENTS
        return cls(framing, kind)

    @property
    def events(self) -> int:
        """Number of events that have ended, comments among them."""
        return self._events.ended

    def feed(self, received: bytes) -> None:
        """Record a part of the body.

        :raises ConnectionLost: if one of its events has no end
        """
        if self._kind is BodyKind.EVENTS:
            self._events.feed(received)
        elif self._kind is BodyKind.JSON and self._ends_with_connection():
            self._json += received

    def finish(self) -> None:
        """Record the end of the body, as its framing shows it.

        :raises ConnectionLost: if the bytes show that the body is incomplete
        """
        self.end = self._find_end()
        reason = _EARLY_REASONS.get(self.end)
        if reason is not None:
            raise ConnectionLost(reason)

    def is_unproven(self) -> bool:
        """Return whether nothing shows that the body is complete."""
        return self.end is BodyEnd.UNPROVEN

    def lose(self) -> None:
        """Record that the connection broke before the end of the body."""
        self.end = BodyEnd.LOST

    def exceed(self) -> None:
        """Record that it exceeded a bound before its end."""
        self.end = BodyEnd.EXCESSIVE

    def _ends_with_connection(self) -> bool:
        return self.framing is Framing.CONNECTION

    def _find_end(self) -> BodyEnd:
        if self._events.is_inside_event():
            return BodyEnd.INSIDE_EVENT
        if not self._ends_with_connection():
            return BodyEnd.WHOLE
        if self._kind is BodyKind.EVENTS and not self._events.has_event:
            return BodyEnd.BEFORE_EVENT
        if self._json and not _is_json(bytes(self._json)):
            return BodyEnd.INSIDE_JSON
        return BodyEnd.UNPROVEN


def _is_json(body: bytes) -> bool:
    try:
        json.loads(body)
    except (ValueError, RecursionError):
        return False
    return True
