"""Checks on the answers of engines: whose they are, and whether whole."""

from __future__ import annotations

import json
from typing import Any, Final

from flamingovalve.errors import ErrorKind, Ran, ServingError

_SEPARATOR: Final = b'\n\n'
_DATA: Final = b'data: '
_END: Final = b'data: [DONE]'
_LONGEST_EVENT_BYTES: Final = 1024**2


class AnswerCheck:
    """Tells whether an answer belongs to one request.

    Engines batch many requests and answer over connections that several of
    them share in turn. An answer that arrives late, crossed or from another
    adapter looks like any other; only its own names tell.
    """

    def __init__(self, name: str, request_id: str) -> None:
        """Expect the adapter ``name`` and the request ``request_id``."""
        self._name = name
        self._request_id = request_id
        self._marks: tuple[bytes, bytes] | None = None

    def check_headers(self, headers: dict[str, str]) -> None:
        """Check the headers, where the engine sends them.

        :raises ServingError: when the answer is somebody else's
        """
        if headers.get('x-request-id', self._request_id) != self._request_id:
            raise self._wrong(headers['x-request-id'])
        if headers.get('x-adapter', self._name) != self._name:
            raise self._wrong(headers['x-adapter'])

    def check_event(self, event: bytes) -> None:
        """Check one event of a stream.

        :raises ServingError: when the event is somebody else's
        """
        marks = self._marks
        if marks is not None and marks[0] in event and marks[1] in event:
            return
        raw = _parse(event.removeprefix(_DATA))
        self.check_object(raw)
        self._marks = self._learn(raw, event)

    def check_object(self, raw: Any) -> None:
        """Check a parsed answer or event.

        :raises ServingError: when it is somebody else's
        """
        if not isinstance(raw, dict):
            raise self._wrong('no JSON object')
        if raw.get('model') != self._name:
            raise self._wrong(raw.get('model'))
        if not str(raw.get('id', '')).endswith(self._request_id):
            raise self._wrong(raw.get('id'))

    def check_whole(self, body: bytes) -> None:
        """Check a whole JSON answer.

        :raises ServingError: when it is somebody else's or a fragment
        """
        raw = _parse(body)
        self.check_object(raw)
        choices = raw.get('choices') or [{}]
        unfinished = [
            choice for choice in choices if not choice.get('finish_reason')
        ]
        if unfinished:
            raise fragment('it has no finish reason')

    def _learn(
        self,
        raw: dict[str, Any],
        event: bytes,
    ) -> tuple[bytes, bytes] | None:
        # Parsing every event costs more than passing it on. Its two names
        # look the same in each, so later events are searched for them; an
        # event without them is parsed.
        for separators in ((',', ':'), (', ', ': ')):
            marks = (
                _pair('id', raw['id'], separators),
                _pair('model', raw['model'], separators),
            )
            if marks[0] in event and marks[1] in event:
                return marks
        return None

    def _wrong(self, found: object) -> ServingError:
        return ServingError(
            ErrorKind.WRONG_ANSWER,
            f'an engine answered for {found!r} instead of {self._name!r}; '
            'the answer was discarded',
            ran=Ran.UNKNOWN,
            retry_after=1,
        )


class EventSplitter:
    """Cuts a stream of bytes into whole events.

    :ivar complete: the end marker has come
    :ivar passed: whole events given so far, without the end marker
    """

    def __init__(self, check: AnswerCheck, passed: int) -> None:
        """Check each event with ``check``.

        :param passed: events that the caller already has
        """
        self.complete = False
        self.passed = passed
        self._check = check
        self._buffer = b''

    def restart(self, passed: int) -> None:
        """Expect the stream to go on after ``passed`` whole events."""
        self._buffer = b''
        self.passed = passed

    def feed(self, received: bytes) -> bytes:
        """Take bytes and give the whole events that they complete.

        :raises ServingError: when an event is somebody else's
        """
        self._buffer += received
        whole, separator, rest = self._buffer.rpartition(_SEPARATOR)
        if len(rest) > _LONGEST_EVENT_BYTES:
            raise fragment('an event without end')
        if not separator:
            return b''
        self._buffer = rest
        for event in whole.split(_SEPARATOR):
            self._take(event)
        return whole + separator

    def _take(self, event: bytes) -> None:
        if event.strip() == _END:
            self.complete = True
        elif event.startswith(_DATA):
            self._check.check_event(event)
            self.passed += 1


def fragment(reason: str) -> ServingError:
    """Give the error of an answer that is not whole."""
    return ServingError(
        ErrorKind.FRAGMENT,
        f'the answer broke off: {reason}; send the request again',
        ran=Ran.UNKNOWN,
        retry_after=1,
    )


def _parse(text: bytes) -> Any:
    try:
        return json.loads(text)
    except ValueError as bad:
        raise fragment(f'it is no JSON ({bad})') from bad


def _pair(key: str, text: object, separators: tuple[str, str]) -> bytes:
    encoded = json.dumps({key: text}, separators=separators)
    return encoded[1:-1].encode()
