"""Checks that engine responses are complete and match their request."""

from __future__ import annotations

import json
from typing import Any, Final

from flamingovalve.errors import ErrorKind, Ran, ServingError

_SEPARATOR: Final = b'\n\n'
_DATA_PREFIX: Final = b'data: '
_END_MARKER: Final = b'data: [DONE]'
_MAX_EVENT_BYTES: Final = 1024**2


class AnswerCheck:
    """Checks that a response belongs to a request.

    Engines batch many requests and respond over connections that are reused.
    A response that is late, swapped with that of another request or produced
    by another adapter is well-formed; only the request id and the adapter
    name in it reveal the mistake.
    """

    def __init__(self, name: str, request_id: str) -> None:
        """Expect the adapter ``name`` and the request ``request_id``."""
        self._name = name
        self._request_id = request_id
        self._identity_marks: tuple[bytes, bytes] | None = None

    def check_headers(self, headers: dict[str, str]) -> None:
        """Check the identifying headers, if the engine sent them.

        :raises ServingError: if the response belongs to another request
        """
        if headers.get('x-request-id', self._request_id) != self._request_id:
            raise self._wrong_answer_error(headers['x-request-id'])
        if headers.get('x-adapter', self._name) != self._name:
            raise self._wrong_answer_error(headers['x-adapter'])

    def check_event(self, event: bytes) -> None:
        """Check one event of a stream.

        :raises ServingError: if the event belongs to another request
        """
        identity_marks = self._identity_marks
        if (
            identity_marks is not None
            and identity_marks[0] in event
            and identity_marks[1] in event
        ):
            return
        content = _parse_json(event.removeprefix(_DATA_PREFIX))
        self.check_object(content)
        self._identity_marks = self._find_identity_marks(content, event)

    def check_object(self, content: Any) -> None:
        """Check a parsed response or event.

        :raises ServingError: if it belongs to another request
        """
        if not isinstance(content, dict):
            raise self._wrong_answer_error('a value that is not a JSON object')
        if content.get('model') != self._name:
            raise self._wrong_answer_error(content.get('model'))
        if not str(content.get('id', '')).endswith(self._request_id):
            raise self._wrong_answer_error(content.get('id'))

    def check_whole(self, body: bytes) -> None:
        """Check the body of a response that is not streamed.

        :raises ServingError: if it belongs to another request or is
            incomplete
        """
        content = _parse_json(body)
        self.check_object(content)
        choices = content.get('choices') or [{}]
        unfinished = [
            choice for choice in choices if not choice.get('finish_reason')
        ]
        if unfinished:
            raise fragment_error('a choice has no finish reason')

    def _find_identity_marks(
        self,
        content: dict[str, Any],
        event: bytes,
    ) -> tuple[bytes, bytes] | None:
        # Parsing an event costs more than forwarding it. The encoded id and
        # model are the same in all events of a stream, so later events are
        # searched for these bytes and parsed only if they lack them.
        for separators in ((',', ':'), (', ', ': ')):
            identity_marks = (
                _encode_member('id', content['id'], separators),
                _encode_member('model', content['model'], separators),
            )
            if identity_marks[0] in event and identity_marks[1] in event:
                return identity_marks
        return None

    def _wrong_answer_error(self, found: object) -> ServingError:
        return ServingError(
            ErrorKind.WRONG_ANSWER,
            f'an engine returned a response for {found!r} instead of '
            f'{self._name!r}; the response was discarded',
            ran=Ran.UNKNOWN,
            retry_after=1,
        )


class EventSplitter:
    """Splits a stream of bytes into complete events.

    :ivar complete: whether the end marker has been received
    :ivar passed: number of complete events so far, without the end marker
    """

    def __init__(self, check: AnswerCheck, passed: int) -> None:
        """Check each event with ``check``.

        :param passed: number of events that the caller has already received
        """
        self.complete = False
        self.passed = passed
        self._check = check
        self._buffer = b''

    def restart(self, passed: int) -> None:
        """Expect the stream to continue after ``passed`` complete events."""
        self._buffer = b''
        self.passed = passed

    def feed(self, received: bytes) -> bytes:
        """Append received bytes and return the events they complete.

        :raises ServingError: if an event belongs to another request or is
            too long
        """
        self._buffer += received
        complete_events, separator, remainder = self._buffer.rpartition(
            _SEPARATOR
        )
        if len(remainder) > _MAX_EVENT_BYTES:
            raise fragment_error('an event is too long')
        if not separator:
            return b''
        self._buffer = remainder
        for event in complete_events.split(_SEPARATOR):
            self._process_event(event)
        return complete_events + separator

    def _process_event(self, event: bytes) -> None:
        if event.strip() == _END_MARKER:
            self.complete = True
        elif event.startswith(_DATA_PREFIX):
            self._check.check_event(event)
            self.passed += 1


def fragment_error(reason: str) -> ServingError:
    """Return the error for an incomplete response."""
    return ServingError(
        ErrorKind.FRAGMENT,
        f'the response is incomplete: {reason}; send the request again',
        ran=Ran.UNKNOWN,
        retry_after=1,
    )


def _parse_json(text: bytes) -> Any:
    try:
        return json.loads(text)
    except ValueError as error:
        raise fragment_error(f'it is not valid JSON ({error})') from error


def _encode_member(
    key: str, text: object, separators: tuple[str, str]
) -> bytes:
    encoded = json.dumps({key: text}, separators=separators)
    return encoded[1:-1].encode()
