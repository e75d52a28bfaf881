"""Answers that end with their connection, whole or broken off."""

from __future__ import annotations

import contextlib
import itertools
import unittest

from flamingovalve.errors import ConnectionLost
from flamingovalve.http.bodies import BodyKind, Framing
from flamingovalve.http.client import UpstreamCall
from tests.rig.broken_answers import (
    EARLY_ENDINGS,
    Ending,
    Manner,
    Manners,
    PlainCaller,
)
from tests.rig.fleet import Fleet, Shape, completion_call, pay_call
from tests.rig.site import Site

STREAM = b''.join(b'id: %d\ndata:  %d\n\n' % (n, n) for n in range(1, 5))
STREAMS = ('/chats/1', '/reviews/1')
CALLS = ('/reads/1', '/orders/1')
OK = 200


class CasesTestCase(unittest.TestCase):
    """A test of many cases, which reports each that fails."""

    def setUp(self):
        """Start without failed cases."""
        self.failed_cases = []

    def tearDown(self):
        """Fail if a case has failed."""
        self.assertEqual(self.failed_cases, [])

    @contextlib.contextmanager
    def cases(self, **names):
        """Run one case."""
        try:
            yield
        except AssertionError as failure:
            self.failed_cases.append((names, str(failure)))


class BrokenAnswersTestCase(CasesTestCase):
    """Plays answers of all endings at one VM."""

    version = '1.1'

    def setUp(self):
        """Start a site whose upstreams answer in given manners."""
        super().setUp()
        self.site = Site.started(4, engines=3, slots=2)
        self.addCleanup(self.site.close)
        self.manners = Manners()
        self.manners.install(*self.site.engines, *self.site.apps)
        self.vm_id = self.site.others()[0]
        self.caller = PlainCaller(self.site.caller.network, self.version)

    def ask(self, path, *following, default=None, method='POST'):
        """Return what the caller receives from upstreams of these manners."""
        self.manners.following = list(following)
        self.manners.default = default or Manner()
        call = self.site.chat(path=path)
        call.method = method
        call.body = b'' if method == 'GET' else call.body
        address = self.site.vms_by_id[self.vm_id].front
        return self.site.world.ask(
            self.site.caller.node, self.caller.ask, address, call, 10
        )

    def check_whole(self, received, stream=STREAM):
        """Check that an answer has arrived, with all of its bytes."""
        self.assertEqual(received.status, OK)
        self.assertTrue(received.is_complete)
        if stream is None:
            self.assertRegex(received.body, rb'^app-\d ran /\w+/1$')
        else:
            self.assertEqual(received.body, stream)

    def check_broken(self, received):
        """Check that the caller sees that an answer is not complete."""
        if received.status == OK:
            self.assertFalse(received.is_complete, received)

    def check_unproven(self, received):
        """Check that an answer is no more delimited than the upstream's."""
        if received.status == OK:
            self.assertFalse(received.claims_to_be_whole(), received)


class TestStreams(BrokenAnswersTestCase):
    """Streams, resumable or not, that end with their connection."""

    def test_whole(self):
        """Guards against a whole stream that is taken for a broken one."""
        line_ends = (b'\n', b'\r\n', b'\r')
        versions = ('HTTP/1.1', 'HTTP/1.0')
        for path, end, version in itertools.product(
            STREAMS, line_ends, versions
        ):
            with self.cases(path=path, end=end, version=version):
                manner = Manner(line_end=end, version=version)
                received = self.ask(path, manner)
                self.check_whole(received, STREAM.replace(b'\n', end))

    def test_whole_in_chunks(self):
        """Guards against line ends that keep a stream from its caller."""
        for path, end in itertools.product(STREAMS, (b'\r\n', b'\r')):
            with self.cases(path=path, end=end):
                manner = Manner(line_end=end, framing=Framing.CHUNKED)
                received = self.ask(path, manner)
                self.check_whole(received, STREAM.replace(b'\n', end))
                self.assertIs(received.framing, Framing.CHUNKED)

    def test_broken_off(self):
        """Guards against a broken stream that is framed as complete."""
        endings = (*EARLY_ENDINGS, Ending.WHOLE)
        for path, ending, is_reset in itertools.product(
            STREAMS, endings, (False, True)
        ):
            with self.cases(path=path, ending=ending, reset=is_reset):
                manner = Manner(ending, is_reset)
                received = self.ask(path, default=manner)
                if ending is Ending.WHOLE:
                    self.check_whole(received)
                elif ending is Ending.BETWEEN and not is_reset:
                    self.check_unproven(received)
                else:
                    self.check_broken(received)

    def test_broken_off_after_line_ends(self):
        """Guards against breaks that only streams with LF show."""
        endings = (Ending.INSIDE_FIRST, Ending.INSIDE_LATER)
        for path, ending, end in itertools.product(
            STREAMS, endings, (b'\r\n', b'\r')
        ):
            with self.cases(path=path, ending=ending, end=end):
                manner = Manner(ending, line_end=end)
                self.check_broken(self.ask(path, default=manner))

    def test_broken_off_in_http_1_0(self):
        """Guards against a break that an older version of HTTP hides."""
        for path, ending in itertools.product(STREAMS, EARLY_ENDINGS):
            with self.cases(path=path, ending=ending):
                manner = Manner(ending, version='HTTP/1.0')
                self.check_unproven(self.ask(path, default=manner))

    def test_chunks_that_end_inside_an_event(self):
        """Guards against a last chunk that is trusted against the events."""
        for path in STREAMS:
            manner = Manner(Ending.INSIDE_LATER, framing=Framing.CHUNKED)
            self.check_broken(self.ask(path, default=manner))

    def test_retried(self):
        """Guards against a stream that a second upstream does not complete."""
        framings = (Framing.CONNECTION, Framing.CHUNKED)
        for ending, is_reset, framing in itertools.product(
            EARLY_ENDINGS, (False, True), framings
        ):
            if ending is Ending.BETWEEN and not is_reset:
                continue
            with self.cases(ending=ending, reset=is_reset, framing=framing):
                first = Manner(ending, is_reset)
                then = Manner(framing=framing)
                received = self.ask('/reviews/1', first, default=then)
                self.check_whole(received)
                # The retry budget is that of a few seconds.
                self.site.world.advance(2)

    def test_retried_after_chunks(self):
        """Guards against chunks that end where no upstream has said so."""
        first = Manner(Ending.BETWEEN, is_reset=True, framing=Framing.CHUNKED)
        received = self.ask('/reviews/1', first, default=Manner())
        self.check_unproven(received)


class TestCalls(BrokenAnswersTestCase):
    """Calls whose answers end with their connection."""

    def test_whole(self):
        """Guards against a whole answer that does not arrive."""
        for path, method in itertools.product(CALLS, ('POST', 'GET')):
            with self.cases(path=path, method=method):
                received = self.ask(path, method=method)
                self.check_whole(received, None)

    def test_broken_off(self):
        """Guards against a length that no upstream has given."""
        endings = (Ending.BEFORE_EVENT, Ending.INSIDE_LATER)
        for path, method, ending in itertools.product(
            CALLS, ('POST', 'GET'), endings
        ):
            with self.cases(path=path, method=method, ending=ending):
                manner = Manner(ending)
                received = self.ask(path, default=manner, method=method)
                self.check_unproven(received)
                manner.is_reset = True
                received = self.ask(path, default=manner, method=method)
                self.check_broken(received)
                self.assertNotEqual(received.status, OK)

    def test_retried(self):
        """Guards against a call that a reset costs, though it may run twice."""
        first = Manner(Ending.INSIDE_LATER, is_reset=True)
        for default in (Manner(), Manner(framing=Framing.LENGTH)):
            received = self.ask('/reads/1', first, default=default)
            self.check_whole(received, None)

    def test_hedged(self):
        """Guards against a hedge whose answer is better framed than it came."""
        slow = Manner(seconds=1)
        for second in (Manner(), Manner(Ending.INSIDE_LATER)):
            received = self.ask('/reads/1', slow, default=second)
            self.check_unproven(received)
            self.assertEqual(received.status, OK)

    def test_following_request(self):
        """Guards against a length where the upstream gives one."""
        manner = Manner(framing=Framing.LENGTH)
        received = self.ask('/reads/1', default=manner)
        self.check_whole(received, None)
        self.assertIs(received.framing, Framing.LENGTH)


class ThroughAnotherVm(BrokenAnswersTestCase):
    """Lets the requests run through another VM."""

    def setUp(self):
        """Partition the VM from all upstreams, and let it find out."""
        super().setUp()
        upstreams = (*self.site.engines, *self.site.apps)
        names = [upstream.name for upstream in upstreams]
        self.site.links.partition([self.vm_id], names)
        framed = Manner(framing=Framing.CHUNKED)
        for path in (*CALLS, *STREAMS):
            self.ask(path, default=framed)
        self.site.world.advance(2)


class TestStreamsThroughAnotherVm(ThroughAnotherVm, TestStreams):
    """Streams whose bytes run through another VM."""


class TestCallsThroughAnotherVm(ThroughAnotherVm, TestCalls):
    """Calls whose bytes run through another VM."""


class TestOldCallers(BrokenAnswersTestCase):
    """Callers of HTTP/1.0, who know chunks in no answer."""

    version = '1.0'

    def test_streams(self):
        """Guards against a broken stream that ends in order for its caller."""
        for path, framing in itertools.product(
            STREAMS, (Framing.CONNECTION, Framing.CHUNKED)
        ):
            with self.cases(path=path, framing=framing):
                manner = Manner(framing=framing)
                self.check_whole(self.ask(path, default=manner))
                manner = Manner(Ending.INSIDE_LATER, framing=framing)
                self.check_broken(self.ask(path, default=manner))


class TestProcessesThatEnd(BrokenAnswersTestCase):
    """VMs that end while a caller reads an answer without a length."""

    def test_killed(self):
        """Guards against a killed VM that seems to complete an answer."""
        for path in STREAMS:
            self.manners.default = Manner()
            address = self.site.vms_by_id[self.vm_id].front
            task = self.site.caller.node.spawn(
                self.caller.ask, address, self.site.chat(path=path), 10
            )
            self.site.world.advance(0.12)
            self.site.kill(self.vm_id)
            self.site.wait(task)
            self.assertIn(b'id: 1', task.result.body)
            self.check_broken(task.result)
            self.site.start(self.vm_id)
            self.site.world.advance(6)


class TestOwnCalls(unittest.TestCase):
    """Calls of the system itself, whose answers it decodes."""

    def setUp(self):
        """Start a site whose store answers without a length."""
        self.site = Site(3)
        self.addCleanup(self.site.close)
        self.manners = Manners(applies=lambda request: request.method == 'GET')

    def read(self, expected):
        """Return the answer of the store, or the exception."""
        call = UpstreamCall(
            'GET', '/kv-range?PathPrefix=op/', [], expected=expected
        )
        address = self.site.store.address
        return self.site.wait(self.site.caller.start(address, call, 5))

    def test_part_of_an_answer(self):
        """Guards against a part of a document that is read as all of it."""
        self.manners.install(self.site.store)
        self.assertEqual(self.read(BodyKind.JSON).status, OK)
        self.manners.default = Manner(Ending.INSIDE_LATER)
        self.assertIsInstance(self.read(BodyKind.JSON), ConnectionLost)
        # The same bytes may be all that another reader expects.
        self.assertEqual(self.read(BodyKind.OPAQUE).status, OK)

    def test_site_without_lengths(self):
        """Guards against a site that needs lengths to work."""
        everything = Manners(applies=lambda _request: True)
        everything.install(self.site.store, *self.site.engines, *self.site.apps)
        for vm_id in self.site.vms_by_id:
            self.site.start(vm_id)
        self.site.world.advance(6)
        for path in (*CALLS, *STREAMS):
            call = self.site.chat(path=path)
            self.assertEqual(self.site.send('vm-1', call).status, OK, path)


class TestOtherInterface(CasesTestCase):
    """The product's own interface, directly and at another VM."""

    def setUp(self):
        """Start a fleet whose upstreams answer in given manners."""
        super().setUp()
        self.fleet = Fleet.started(Shape(vms=3, engines=2))
        self.addCleanup(self.fleet.close)
        self.fleet.world.advance(10)
        paths = ('/v1/chat/completions', '/v1/completions', '/v1/streams/')
        self.manners = Manners(
            applies=lambda request: request.path.startswith(
                (*paths, '/pay', '/status')
            )
        )
        self.manners.install(
            *self.fleet.engines_by_id.values(),
            *self.fleet.services_by_id.values(),
        )
        self.caller = PlainCaller(self.fleet.caller.network)

    def ask(self, vm_id, call):
        """Return what a caller receives from a VM."""
        address = self.fleet.vms_by_id[vm_id].http_address
        return self.fleet.world.ask(
            self.fleet.caller.node, self.caller.ask, address, call, 60
        )

    def completions(self, *, stream):
        """Yield the answers of each VM to a completion."""
        for vm_id in self.fleet.vms_by_id:
            call = completion_call('adapter-1', 'a b c d', stream=stream)
            yield self.ask(vm_id, call)

    def test_streams(self):
        """Guards against a stream without its end marker that looks whole."""
        for ending, is_reset in itertools.product(Ending, (False, True)):
            self.manners.default = Manner(ending, is_reset)
            for received in self.completions(stream=True):
                with self.cases(ending=ending, reset=is_reset):
                    if received.claims_to_be_whole() and received.status == OK:
                        self.assertIn(b'data: [DONE]', received.body)
                    if ending is Ending.WHOLE:
                        self.assertEqual(received.status, OK)
                        self.assertTrue(received.is_complete)

    def test_completions(self):
        """Guards against a part of a completion that looks whole."""
        for ending in (Ending.WHOLE, Ending.INSIDE_LATER):
            for is_reset in (False, True):
                self.manners.default = Manner(ending, is_reset)
                for received in self.completions(stream=False):
                    with self.cases(ending=ending, reset=is_reset):
                        is_whole = ending is Ending.WHOLE
                        self.assertEqual(received.status == OK, is_whole)

    def test_calls(self):
        """Guards against a length that no service has given."""
        plays = itertools.product(
            (Ending.WHOLE, Ending.INSIDE_LATER), self.fleet.vms_by_id
        )
        for ending, vm_id in plays:
            self.manners.default = Manner(ending)
            paid = pay_call(self.fleet.permit(vm_id))
            status = pay_call('')
            status.target = '/v1/services/orders/status'
            # The repeat gets the recorded answer, at another VM as well.
            for call, other in ((paid, vm_id), (paid, 'vm-0'), (status, vm_id)):
                received = self.ask(other, call)
                with self.cases(vm=vm_id, ending=ending, target=call.target):
                    self.assertEqual(received.status, OK)
                    self.assertFalse(received.claims_to_be_whole())
