"""How bodies are delimited, and what their ends prove."""

from __future__ import annotations

import unittest

from flamingovalve.errors import ConnectionLost
from flamingovalve.http.bodies import (
    BodyEnd,
    BodyKind,
    EventBuffer,
    Framing,
    ReceivedBody,
    last_event_id,
)

EARLY = {BodyEnd.INSIDE_EVENT, BodyEnd.BEFORE_EVENT, BodyEnd.INSIDE_JSON}
LINE_ENDS = (b'\n', b'\r\n', b'\r')


def body(kind, framing=Framing.CONNECTION, *parts):
    """Return a body that was received to its end."""
    received = ReceivedBody(framing, kind)
    for part in parts:
        received.feed(part)
    finish(received)
    return received


def finish(received):
    """End a body; check that a body that shows to be cut off is lost."""
    try:
        received.finish()
    except ConnectionLost:
        assert received.end in EARLY, received.end
    else:
        assert received.end in {BodyEnd.WHOLE, BodyEnd.UNPROVEN}, received.end


class TestFraming(unittest.TestCase):
    """How the end of a response is found."""

    def test_response(self):
        """Guards against a body taken for delimited that is not."""
        cases = (
            (('GET', 200, {}), Framing.CONNECTION),
            (('GET', 200, {'content-length': '0'}), Framing.LENGTH),
            (('GET', 200, {'transfer-encoding': 'chunked'}), Framing.CHUNKED),
            (('HEAD', 200, {}), Framing.LENGTH),
            (('GET', 304, {}), Framing.LENGTH),
            (('POST', 503, {}), Framing.CONNECTION),
        )
        for head, expected in cases:
            self.assertIs(Framing.of_response(*head), expected, head)


class TestEventBuffer(unittest.TestCase):
    """Events that arrive in pieces."""

    def test_pieces(self):
        """Guards against an end of event that is missed between pieces."""
        for end in LINE_ENDS:
            events = [
                end.join((b'id: %d' % number, b'data: x', b'', b''))
                for number in range(3)
            ]
            stream = b''.join(events)
            for size in range(1, len(stream)):
                buffer = EventBuffer()
                passed = b''
                for start in range(0, len(stream), size):
                    passed += buffer.feed(stream[start : start + size])
                    self.assertTrue(stream.startswith(passed))
                self.assertFalse(buffer.is_inside_event(), (end, size))
                self.assertEqual(passed + buffer.take_rest(), stream)

    def test_complete_events_only(self):
        """Guards against a part of an event that is passed on."""
        for end in LINE_ENDS:
            buffer = EventBuffer()
            first = b'id: 1' + end + b'data: x' + end
            self.assertEqual(buffer.feed(first), b'')
            self.assertTrue(buffer.is_inside_event())
            passed = buffer.feed(end + b'id: 2')
            self.assertEqual(passed, first + end)
            self.assertTrue(buffer.is_inside_event())

    def test_last_id(self):
        """Guards against a stream that is resumed after the wrong event."""
        for end in LINE_ENDS:
            events = end.join(
                (b'id: 1', b'', b'id:2', b'data: id: 3', b'', b'')
            )
            self.assertEqual(last_event_id(events), '2')
            self.assertIsNone(last_event_id(b'data: id: 3' + end + end))

    def test_comments(self):
        """Guards against a comment that is taken for the first event."""
        buffer = EventBuffer()
        buffer.feed(b': waiting\n\n')
        self.assertFalse(buffer.has_event)
        buffer.feed(b': waiting\ndata: x\n\n')
        self.assertTrue(buffer.has_event)


class TestReceivedBody(unittest.TestCase):
    """What the end of a body proves."""

    def test_events(self):
        """Guards against a part of a stream that is taken for all of it."""
        cases = (
            ((), BodyEnd.BEFORE_EVENT, BodyEnd.WHOLE),
            ((b': x\n\n',), BodyEnd.BEFORE_EVENT, BodyEnd.WHOLE),
            ((b'data: x\n',), BodyEnd.INSIDE_EVENT, BodyEnd.INSIDE_EVENT),
            ((b'data: x\n\n',), BodyEnd.UNPROVEN, BodyEnd.WHOLE),
            ((b'id: 1\n\n', b'i'), BodyEnd.INSIDE_EVENT, BodyEnd.INSIDE_EVENT),
        )
        for parts, unframed, framed in cases:
            kind = BodyKind.EVENTS
            received = body(kind, Framing.CONNECTION, *parts)
            self.assertIs(received.end, unframed, parts)
            for framing in (Framing.LENGTH, Framing.CHUNKED):
                received = body(kind, framing, *parts)
                self.assertIs(received.end, framed, parts)

    def test_json(self):
        """Guards against a part of a JSON value that is taken for all of it."""
        kind, framing = BodyKind.JSON, Framing.CONNECTION
        for part in (b'{"a": [1', b'{"a": "', b'{'):
            self.assertIs(body(kind, framing, part).end, BodyEnd.INSIDE_JSON)
        for whole in (b'', b'{"a": [1]}', b'[]'):
            self.assertIs(body(kind, framing, whole).end, BodyEnd.UNPROVEN)

    def test_opaque(self):
        """Guards against bytes that are judged by a form they need not have."""
        received = body(BodyKind.OPAQUE, Framing.CONNECTION, b'{"a": [1')
        self.assertIs(received.end, BodyEnd.UNPROVEN)
        received = body(BodyKind.OPAQUE, Framing.LENGTH, b'{"a": [1')
        self.assertIs(received.end, BodyEnd.WHOLE)

    def test_kind_of_a_response(self):
        """Guards against failures that are judged as streams."""
        head = {'content-type': 'text/event-stream; charset=utf-8'}
        cases = (
            (('POST', 200, {}, BodyKind.EVENTS), BodyEnd.BEFORE_EVENT),
            (('POST', 200, head, BodyKind.OPAQUE), BodyEnd.BEFORE_EVENT),
            (('POST', 500, head, BodyKind.EVENTS), BodyEnd.UNPROVEN),
        )
        for response, expected in cases:
            received = ReceivedBody.of_response(*response)
            finish(received)
            self.assertIs(received.end, expected)
