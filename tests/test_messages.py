"""Every message between VMs survives its encoding."""

from __future__ import annotations

import unittest

from flamingovalve.generated import messages
from flamingovalve.generated.ids import UpstreamId
from tests.rig.engines import ask


class TestFrames(unittest.TestCase):
    """Messages on a connection between two VMs."""

    def test_place_ask(self):
        sent = ask('adapter')
        got = messages.decode_frame(messages.encode_frame(sent))
        self.assertEqual(got, sent)

    def test_message_within_a_message(self):
        """A VM tells a new owner of a place with the request it was for.

        The request was not encoded, the telling task crashed, and the new
        owner ordered out adapters in use.
        """
        sent = messages.PlaceHold(ask('adapter'), UpstreamId('engine-0'))
        got = messages.decode_frame(messages.encode_frame(sent))
        self.assertEqual(got, sent)

    def test_list_of_documents(self):
        document = messages.Document('key', 7, b'content', deleted=False)
        sent = messages.DocumentsReply([document])
        got = messages.decode_frame(messages.encode_frame(sent))
        self.assertEqual(got, sent)

    def test_outcome_of_a_place(self):
        sent = messages.PlaceEnd(messages.PlaceOutcome.REFUSED, 0.25)
        got = messages.decode_frame(messages.encode_frame(sent))
        self.assertEqual(got, sent)
