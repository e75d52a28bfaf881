"""Quarantine of requests that crash upstreams."""

from __future__ import annotations

import dataclasses
import random
from unittest.mock import Mock

import curio

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.gateway.inbound import Completion, InboundRequest
from flamingovalve.gateway.model import RepeatPolicy, Route
from flamingovalve.gateway.quarantine.access import QuarantineAccess
from flamingovalve.gateway.quarantine.causes import causes_of
from flamingovalve.gateway.quarantine.ends import End, Instance
from flamingovalve.gateway.quarantine.handover import Handover
from flamingovalve.gateway.quarantine.quarantine import CrashQuarantine
from flamingovalve.gateway.quarantine.suspects import Suspects
from flamingovalve.gateway.quarantine.upstream_ends import EndSign
from flamingovalve.gateway.relay import Outcome, SendResult
from flamingovalve.generated.ids import Incarnation, RequestId, VmId
from flamingovalve.generated.messages import (
    EndsAsk,
    MemberState,
    PromptPart,
    TrialRumour,
)
from flamingovalve.generated.settings import PublishedVm, Settings, VmList
from flamingovalve.http.bodies import BodyEnd, BodyKind, Framing, ReceivedBody
from flamingovalve.membership.gossip import Dissemination
from flamingovalve.membership.members import MemberTable
from flamingovalve.util import clock
from tests.rig.engines import upstream
from tests.rig.timeline import TimedTestCase

SECONDS = 600.0
ROUTE = Route('r', 'host', '/r/', RepeatPolicy.RESUMABLE, 5, 1, 0, (), 2, True)


def request(
    number: int = 0, body: bytes = b'deadly', caller: str = ''
) -> InboundRequest:
    """Return one attempt of a request."""
    return InboundRequest(
        RequestId(f'try-{number}'),
        'POST' if body else 'GET',
        '/r/1',
        [],
        body,
        ROUTE,
        received_at=0,
        deadline=5,
        patience=5,
        caller=caller,
    )


class QuarantineTestCase(TimedTestCase):
    """Two VMs that exchange rumours."""

    def setUp(self) -> None:
        """Start with upstreams that have ended if their connection breaks."""
        super().setUp()
        self.sign = EndSign.REFUSES
        self.heard_at = float('-inf')
        self.ends = 0
        self.rumours = []
        self.is_cut = False
        self.started = 0
        self.probers = {0, 1}
        self.vms = [self.vm() for _vm in range(2)]

    def vm(self):
        """Return the quarantine of a new process."""
        quarantine = CrashQuarantine(
            SECONDS,
            self._find_end,
            lambda _name: self.heard_at,
            lambda _cause, number=self.started: number in self.probers,
        )
        self.started += 1
        quarantine.publish = self._publish
        quarantine.enqueue = self._enqueue
        return quarantine

    async def _find_end(self, _upstream, _since, *, identifies):
        """Return what shows that the upstream has ended."""
        return self.sign

    async def _publish(self, rumour):
        """Deliver a rumour to both VMs."""
        self._enqueue(rumour)

    def _enqueue(self, rumour):
        """Deliver a rumour that is not urgent, too; VMs pass on what is new."""
        self.rumours.append(rumour)
        for vm in () if self.is_cut else self.vms:
            received = dataclasses.replace(rumour)
            if isinstance(rumour, TrialRumour):
                vm.apply_trial(received)
            elif vm.apply_rumour(received) is not Dissemination.NONE:
                self._enqueue(received)

    def record(self, vm, attempt, outcome, name='', **fields):
        """Record the outcome of sending a request."""
        attempt.losses += outcome is Outcome.LOST
        self.ends += 1
        target = upstream(name or f'engine-{self.ends}')
        sent = SendResult(outcome, **fields)
        attempt.is_answered |= sent.is_success_of(attempt)
        curio.run(vm.record, attempt, target, sent)

    def send(self, vm, outcome, body=b'deadly', name='', caller=''):
        """Check a request on a VM and record the outcome of sending it."""
        attempt = request(body=body, caller=caller)
        vm.admit(attempt)
        self.record(vm, attempt, outcome, name)

    def assert_refused(self, vm, body=b'deadly', caller=''):
        """Check that a VM refuses a request as deadly."""
        with self.assertRaises(ServingError) as caught:
            vm.admit(request(body=body, caller=caller))
        self.assertIs(caught.exception.kind, ErrorKind.QUARANTINED)


class TestCrashes(QuarantineTestCase):
    """What counts, what clears, and what is refused."""

    def test_fourth_upstream_does_not_get_the_request(self):
        """A caller retries a request that crashes upstreams through any VM.

        Guards against the loss of one more engine, with all requests on it,
        per attempt, until none is left.
        """
        for number in range(3):
            self.send(self.vms[number % 2], Outcome.LOST)
        for vm in self.vms:
            self.assert_refused(vm)

    def test_request_without_a_body_is_refused_too(self):
        """Guards against repeats of a GET that end all upstreams."""
        for number in range(3):
            self.send(self.vms[number % 2], Outcome.LOST, b'')
        for vm in self.vms:
            self.assert_refused(vm, b'')

    def test_answer_clears_a_request(self):
        """Engines crash while they run a harmless request.

        Guards against a quarantine of that request, whose caller would never
        be served.
        """
        for _crash in range(2):
            self.send(self.vms[0], Outcome.LOST)
        self.send(self.vms[0], Outcome.DONE)
        self.send(self.vms[0], Outcome.LOST)
        self.send(self.vms[0], Outcome.LOST)
        for vm in self.vms:
            vm.admit(request())

    def test_answer_at_one_vm_clears_at_the_others(self):
        """Guards against counts that only rise at VMs without an answer."""
        for _round in range(4):
            self.send(self.vms[0], Outcome.LOST)
            self.send(self.vms[0], Outcome.DONE)
        self.vms[1].admit(request())

    def test_rumour_that_is_late_counts_nothing(self):
        """Guards against rumours that undo a later answer."""
        for _crash in range(2):
            self.send(self.vms[0], Outcome.LOST)
        late = list(self.rumours)
        self.send(self.vms[0], Outcome.DONE)
        for rumour in late:
            self.vms[1].apply_rumour(rumour)
        self.send(self.vms[1], Outcome.LOST)
        self.vms[1].admit(request())

    def test_reset_connection_is_not_a_crash(self):
        self.sign = None
        for _reset in range(5):
            self.send(self.vms[0], Outcome.LOST)
        self.assertEqual(self.vms[0].counts.crashes, 0)

    def test_error_of_an_upstream_clears_nothing(self):
        """Guards against repeats that pass whenever an upstream fails."""
        for _crash in range(3):
            self.send(self.vms[0], Outcome.LOST)
            self.record(self.vms[0], request(), Outcome.FAILED)
        self.assert_refused(self.vms[1])

    def test_losses_with_one_upstream_count_once(self):
        """Guards against a popular request refused after a single crash."""
        for number in range(5):
            self.send(self.vms[number % 2], Outcome.LOST, name='engine-0')
        for vm in self.vms:
            vm.admit(request())

    def test_other_requests_are_not_quarantined(self):
        for _crash in range(3):
            self.send(self.vms[0], Outcome.LOST)
        self.send(self.vms[0], Outcome.DONE, b'harmless')

    def test_crash_count_expires(self):
        for _crash in range(3):
            self.send(self.vms[0], Outcome.LOST)
        self.advance(SECONDS + 1)
        self.send(self.vms[0], Outcome.LOST)

    def test_answers_of_other_callers_excuse_no_caller(self):
        """Guards against a caller who hides behind a popular path."""
        for _crash in range(3):
            self.send(self.vms[0], Outcome.LOST, b'', caller='one')
            self.send(self.vms[0], Outcome.DONE, b'', caller='two')
        for vm in self.vms:
            self.assert_refused(vm, b'', 'one')
            vm.admit(request(body=b'', caller='two'))

    def test_call_of_one_caller_excuses_no_other(self):
        """Guards against one more upstream for each caller of a request."""
        self.send(self.vms[0], Outcome.DONE, b'sound', caller='one')
        for _crash in range(3):
            self.send(self.vms[0], Outcome.LOST, caller='one')
        for vm in self.vms:
            self.assert_refused(vm, caller='other')

    def test_longest_refusal_holds(self):
        """Guards against a probe of a path whose call is refused for longer."""
        for number in range(8):
            deadly, sound = request(caller='one'), request(caller='one')
            deadly.target, sound.target = f'/r/{number}', '/sound'
            self.record(self.vms[0], sound, Outcome.DONE)
            for _crash in range(4):
                self.record(self.vms[0], deadly, Outcome.LOST)
                self.advance(1.1)
            self.assertGreater(self.vms[0].refusal_seconds(deadly), 0)
            self.advance(5)
            self.assertGreater(self.vms[0].refusal_seconds(deadly), 0)

    def test_call_lost_beside_a_known_deadly_one(self):
        """Guards against three upstreams for each of several deadly calls."""
        for _crash in range(3):
            self.send(self.vms[0], Outcome.LOST)
            self.record(
                self.vms[0],
                request(body=b'sound %d' % self.ends),
                Outcome.LOST,
                f'engine-{self.ends}',
            )
        self.assertEqual(self.vms[0].refusal_seconds(request(body=b'new')), 0)
        for number in (2, 4, 6):
            sound = request(body=b'sound %d' % number)
            self.assertEqual(self.vms[1].refusal_seconds(sound), 0)
        self.send(self.vms[0], Outcome.LOST, b'new')
        for vm in self.vms:
            self.assert_refused(vm, b'new')

    def test_popular_call_beside_a_known_deadly_one(self):
        """Guards against a popular call refused for one end at all VMs."""
        for _crash in range(3):
            self.send(self.vms[0], Outcome.LOST)
        self.send(self.vms[0], Outcome.DONE, b'popular')
        self.send(self.vms[0], Outcome.LOST, b'popular')
        self.assertEqual(
            self.vms[0].refusal_seconds(request(body=b'popular')), 0
        )

    def test_fleet_that_has_lost_its_memory(self):
        """Guards against three more upstreams after each loss of all VMs."""
        now = int(clock.wall() * 1000)
        service = request().service
        born = (now - 100_000, now - 9_000, now - 8_000)
        started = [
            dataclasses.replace(upstream(f'app-{at}'), born=at, service=service)
            for at in born
        ]
        for count, is_refused in ((2, False), (3, True)):
            vm = CrashQuarantine(
                SECONDS,
                self._find_end,
                lambda _name: self.heard_at,
                lambda _cause: True,
                upstreams=lambda count=count: started[:count],
            )
            self.assertEqual(vm.refusal_seconds(request()), 0)
            self.record(vm, request(), Outcome.LOST)
            seconds = vm.refusal_seconds(request())
            self.assertEqual(seconds, 60 if is_refused else 0)

    def test_first_upstreams_that_have_all_ended(self):
        """Guards against ends forgotten with the last of the first upstreams."""
        now = int(clock.wall() * 1000)
        service = request().service
        registered = [
            dataclasses.replace(upstream(f'app-{at}'), born=at, service=service)
            for at in (now - 100_000, now - 9_000, now - 8_000)
        ]
        vm = CrashQuarantine(
            SECONDS,
            self._find_end,
            lambda _name: self.heard_at,
            lambda _cause: True,
            upstreams=lambda: registered,
        )
        vm.admit(request())
        self.advance(1)
        registered.pop(0)
        self.record(vm, request(), Outcome.LOST)
        self.assertGreater(vm.refusal_seconds(request()), 0)

    def test_vm_that_reaches_no_other(self):
        """Guards against a VM alone that takes what it knows for all ends."""
        for count, has_ended in ((2, False), (4, True)):
            names = [VmId(f'vm-{number}') for number in range(count)]
            members = MemberTable(names[0], Incarnation(1))
            members.replace_list(VmList(1, list(map(PublishedVm, names))))
            access = QuarantineAccess.from_config(
                Settings(), members, Mock(), Mock(), Mock(), random.Random(1)
            )
            knowledge = access.quarantine.knowledge
            self.advance(5)
            self.assertGreaterEqual(knowledge.covered(), 5)
            for member in members.others():
                member.incarnation = Incarnation(1)
                if has_ended:
                    member.record_end(member.incarnation)
                members.change(member, MemberState.DEAD)
            self.advance(5)
            self.assertEqual(knowledge.covered(), 0)

    def test_suspect_call_runs_once_at_a_time(self):
        """Guards against several runs of a call before the first one ends."""
        for _crash in range(2):
            self.send(self.vms[0], Outcome.LOST)
        first, second = request(1), request(2)
        curio.run(self.vms[0].record_sending, first)
        self.assertEqual(self.vms[0].refusal_seconds(first), 0)
        for vm in self.vms:
            self.assertGreater(vm.refusal_seconds(second), 0)
            self.assertEqual(vm.refusal_seconds(request(body=b'other')), 0)
        self.record(self.vms[0], first, Outcome.DONE)
        for vm in self.vms:
            self.assertEqual(vm.refusal_seconds(second), 0)

    def test_run_of_a_suspect_that_nobody_hears_of_again(self):
        """Guards against repeats that wait for a VM that has ended."""
        for _crash in range(2):
            self.send(self.vms[0], Outcome.LOST)
        curio.run(self.vms[0].record_sending, request(1))
        self.assertLessEqual(self.vms[1].refusal_seconds(request(2)), 2)
        self.advance(2)
        self.assertEqual(self.vms[1].refusal_seconds(request(2)), 0)

    def test_silence_counts_only_if_the_request_was_read(self):
        """Guards against requests sent into a partition taken for deadly."""
        self.sign = EndSign.SILENT
        for _crash in range(4):
            attempt = request()
            self.record(
                self.vms[0], attempt, Outcome.LOST, is_acknowledged=False
            )
        self.vms[0].admit(request())
        for _crash in range(3):
            self.record(self.vms[0], request(), Outcome.TIMED_OUT)
        self.assert_refused(self.vms[1])

    def test_slow_upstream_is_not_looked_at(self):
        """Guards against late responses taken for ends of upstreams."""
        self.heard_at = self.current_time
        for _crash in range(4):
            self.record(self.vms[0], request(), Outcome.TIMED_OUT)
            curio.run(
                self.vms[0].record_unanswered,
                request(),
                upstream('engine-0'),
                self.current_time - 1,
            )
        self.assertEqual(self.vms[0].counts.crashes, 0)

    def test_end_during_a_hedge_that_was_answered(self):
        """Guards against a request counted whose second send was answered."""
        attempt = request()
        self.record(self.vms[0], attempt, Outcome.DONE)
        self.record(self.vms[0], attempt, Outcome.LOST)
        self.assertEqual(self.vms[0].counts.crashes, 0)


class TestSuspects(QuarantineTestCase):
    """Requests that are sent again although they were lost before."""

    def test_second_loss_ends_an_attempt(self):
        """Guards against an attempt that ends more than two upstreams."""
        attempt = request()
        self.vms[0].admit(attempt)
        self.sign = None
        self.record(self.vms[0], attempt, Outcome.LOST)
        self.assertTrue(self.vms[0].may_retry(attempt))
        self.assertFalse(self.vms[0].may_hedge(attempt))
        self.record(self.vms[0], attempt, Outcome.LOST)
        self.assertFalse(self.vms[0].may_retry(attempt))

    def test_suspect_is_sent_once_per_attempt(self):
        """Guards against two more ends after two that are known."""
        for _crash in range(2):
            self.send(self.vms[0], Outcome.LOST)
        attempt = request()
        self.vms[1].admit(attempt)
        self.assertFalse(self.vms[1].may_hedge(attempt))
        self.assertFalse(self.vms[1].may_retry(attempt))

    def test_losses_learned_while_waiting(self):
        """Guards against a request that was admitted before others counted."""
        attempt = request()
        self.vms[1].admit(attempt)
        for _crash in range(3):
            self.send(self.vms[0], Outcome.LOST)
        self.assertGreater(self.vms[1].refusal_seconds(attempt), 0)

    def test_companion_is_not_refused(self):
        """Guards against a harmless request lost with a deadly one each time."""
        for number in range(3):
            for body in (b'deadly', b'companion'):
                self.send(self.vms[0], Outcome.LOST, body, f'engine-{number}')
        self.vms[0].admit(request())
        self.send(self.vms[0], Outcome.LOST)
        self.assert_refused(self.vms[0])
        self.vms[0].admit(request(body=b'companion'))
        self.send(self.vms[0], Outcome.DONE, b'companion')
        self.assert_refused(self.vms[1])

    def test_new_vm_takes_over_all_ends_and_refusals(self):
        """Guards against a VM that is told a part of what others know."""
        for body in range(20):
            for _crash in range(3):
                lost = request(body=b'%d' % body)
                self.record(self.vms[0], lost, Outcome.LOST)
            self.assert_refused(self.vms[0], b'%d' % body)
        self.advance(5)
        new = self.vm()
        handover = Handover(self.vms[0], Mock(), random.Random(1))
        reply = curio.run(handover.answer, EndsAsk(), None)
        new.take_over(reply)
        for body in range(20):
            self.assert_refused(new, b'%d' % body)
        self.assertEqual(new.reports.digest(), self.vms[0].reports.digest())
        self.assertEqual(new.knowledge.covered(), 5)
        same = curio.run(handover.answer, EndsAsk(new.reports.digest()), None)
        self.assertEqual(same.ends, [])

    def test_restarted_vm_learns_what_repeats(self):
        """Guards against a new process that knows nothing of the others."""
        for _crash in range(3):
            self.send(self.vms[0], Outcome.LOST)
        restarted = self.vm()
        for rumour in self.vms[1].reports.standing_rumours():
            restarted.apply_rumour(rumour)
        self.assert_refused(restarted)

    def test_partitioned_vm_counts_by_itself(self):
        """Guards against a VM that nobody tells and that ends everything."""
        self.is_cut = True
        for _crash in range(3):
            self.send(self.vms[0], Outcome.LOST)
        self.assert_refused(self.vms[0])
        self.vms[1].admit(request())

    def test_table_is_bounded_and_keeps_what_is_refused(self):
        """Guards against deadly requests forgotten among many lost ones."""
        suspects = Suspects(SECONDS)
        deadly = self.lose(suspects, b'deadly', range(3), 'engine')
        for number in range(2500):
            self.lose(suspects, b'%d' % number, [number % 7], 'app')
        for number in range(500):
            self.lose(suspects, b'harmless', [number], 'other')
            suspects.record_success(self.causes(b'harmless'))
        self.assertLessEqual(len(suspects), 128)
        for end in suspects.ends:
            self.assertLessEqual(len(end.lost), 256)
        self.assertIsNotNone(suspects.convicted(deadly))

    def causes(self, body):
        """Return the causes of a request."""
        return {cause.fingerprint for cause in causes_of(request(body=body))}

    def lose(self, suspects, body, numbers, name):
        """Lose a request with upstreams; return its causes."""
        causes = self.causes(body)
        for number in numbers:
            instance = Instance(f'{name}-{number}', 0)
            at = self.current_time
            suspects.merge(End(instance, at, at + SECONDS, causes))
        return causes


class SharedCauseTestCase(QuarantineTestCase):
    """Requests that all differ, and what they share."""

    def setUp(self):
        """Start with requests that all differ."""
        super().setUp()
        self.sent = 0

    def prompt(self, *parts, adapter='', path='/r/1'):
        """Return a request of its own with these shared parts."""
        self.sent += 1
        made = request(self.sent, b'%d' % self.sent, caller='host')
        made.target = path
        own = f'own-{self.sent}'
        shared = [PromptPart(part, 1) for part in (*parts, own)]
        made.completion = Completion('base', adapter, 1, 1, shared)
        return made

    def lose(self, *parts, name='', seconds=1.0, vm=0, **fields):
        """Lose a request with an upstream, some time after the last one."""
        self.advance(seconds)
        made = self.prompt(*parts, **fields)
        self.record(self.vms[vm], made, Outcome.LOST, name)

    def answer(self, *parts, vm=0, **fields):
        """Answer a request with a whole stream."""
        self.record(self.vms[vm], self.prompt(*parts, **fields), Outcome.DONE)

    def convict(self, count=4):
        """Lose deadly requests, with answers to sound ones in between."""
        for number in range(count):
            self.lose('first', 'deadly', vm=number % 2)
            self.answer('first', 'sound', vm=number % 2)

    def is_refused(self, *parts, vm=0, **fields):
        """Return whether a VM refuses a request with these parts."""
        return self.vms[vm].refusal_seconds(self.prompt(*parts, **fields)) > 0


class TestSharedCauses(SharedCauseTestCase):
    """Causes that different requests share."""

    def test_part_among_sound_ones(self):
        """Guards against the sound parts of deadly requests refused."""
        self.convict(3)
        self.assertFalse(self.is_refused('deadly'))
        self.convict(1)
        for vm in range(2):
            self.assertTrue(self.is_refused('other', 'deadly', vm=vm))
            self.assertFalse(self.is_refused('first', 'sound', vm=vm))
            self.assertFalse(self.is_refused('first', vm=vm))

    def test_last_part_is_not_shared(self):
        """Guards against a prompt refused for the part that is its own."""
        for number in range(5):
            made = self.prompt()
            made.completion.parts[-1].id = 'same'
            self.record(self.vms[0], made, Outcome.LOST)
            self.advance(1)
            self.answer('first', path=f'/r/{number}')
        self.assertFalse(self.is_refused('same', path='/r/9'))

    def test_adapter(self):
        """Guards against an adapter that ends each engine."""
        for number in range(4):
            self.lose('first', adapter='deadly', vm=number % 2)
            self.answer('first', adapter='sound')
        self.assertTrue(self.is_refused('other', adapter='deadly', vm=1))
        self.assertFalse(self.is_refused('first', adapter='sound', vm=1))

    def test_parts_that_cannot_be_told_apart(self):
        """Guards against a part refused alone that only came with another."""
        for _end in range(4):
            self.lose('new', 'deadly')
            self.answer('first')
        self.assertTrue(self.is_refused('new', 'deadly'))
        self.assertFalse(self.is_refused('new', 'first'))

    def test_bystander_on_the_same_engines(self):
        """Guards against a part excused for good by another one beside it."""
        for number in range(6):
            self.assertFalse(self.is_refused('deadly'))
            self.lose('deadly', name=f'engine-{number}')
            self.lose('beside', name=f'engine-{number}', seconds=0)
            self.answer('first')
        self.assertTrue(self.is_refused('deadly'))

    def test_upstreams_that_end_under_all_requests(self):
        """Guards against all requests refused after a failure of all engines."""
        self.answer('first', 'sound')
        for _end in range(12):
            self.lose('first', 'sound')
        self.assertFalse(self.is_refused('first', 'sound'))
        self.answer('first', 'other')
        self.assertFalse(self.is_refused('first', 'sound'))

    def test_upstreams_that_end_at_once(self):
        """Guards against a new part refused when many engines end together."""
        for _end in range(8):
            self.lose('new', seconds=0)
        self.answer('first')
        self.assertFalse(self.is_refused('new'))

    def test_part_that_was_sound(self):
        """Guards against a part that passes for what it was before."""
        self.answer('first', 'deadly')
        for _end in range(4):
            self.assertFalse(self.is_refused('deadly'))
            self.lose('first', 'deadly')
            self.answer('first', 'sound')
        self.assertTrue(self.is_refused('deadly'))

    def test_success_at_another_vm_before_the_ends(self):
        """Guards against a sound part that is new to the VM that lost it."""
        self.is_cut = True
        self.answer('rare', vm=1)
        self.is_cut = False
        for _end in range(5):
            self.lose('rare')
        self.answer('first')
        self.assertFalse(self.is_refused('rare'))

    def test_stream_without_proof_that_it_is_whole(self):
        """Guards against a deadly part exonerated by a stream that broke off."""
        unproven = ReceivedBody(Framing.CONNECTION, BodyKind.EVENTS)
        unproven.end = BodyEnd.UNPROVEN
        for _end in range(4):
            self.advance(1)
            made = self.prompt('deadly')
            self.record(self.vms[0], made, Outcome.DONE, received=unproven)
            self.answer('first')
        self.assertTrue(self.is_refused('deadly'))
        self.sign = None
        made = self.prompt('sound')
        self.record(self.vms[0], made, Outcome.DONE, received=unproven)
        self.assertEqual(self.vms[0].counts.crashes, 4)

    def test_suspect_part_is_sent_once_per_attempt(self):
        """Guards against resumed streams that end one more engine each."""
        self.convict(2)
        self.assertFalse(self.vms[1].may_retry(self.prompt('deadly')))
        self.assertTrue(self.vms[1].may_retry(self.prompt('first', 'sound')))


class TestProbes(SharedCauseTestCase):
    """What is sent after a refusal, and what follows from it."""

    def setUp(self):
        """Convict a part."""
        super().setUp()
        self.probers = {0}
        self.convict()
        for vm in range(2):
            self.assertTrue(self.is_refused('deadly', vm=vm))
        self.advance(SECONDS)

    def test_one_probe_at_one_vm(self):
        """Guards against requests that end engines again after a refusal."""
        self.assertTrue(self.is_refused('deadly', vm=1))
        self.assertFalse(self.is_refused('deadly'))
        self.assertTrue(self.is_refused('deadly'))

    def test_probe_that_ends_an_upstream(self):
        """Guards against refusals that never grow."""
        self.assertFalse(self.is_refused('deadly'))
        self.lose('deadly')
        self.advance(7 * SECONDS)
        for vm in range(2):
            self.assertTrue(self.is_refused('deadly', vm=vm))
        self.advance(SECONDS)
        self.assertFalse(self.is_refused('deadly'))

    def test_probe_that_succeeds(self):
        """Guards against a cause refused for ever."""
        self.assertFalse(self.is_refused('deadly'))
        self.answer('deadly')
        for vm in range(2):
            self.assertFalse(self.is_refused('deadly', vm=vm))
