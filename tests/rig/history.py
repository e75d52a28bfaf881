"""Records the requests and responses of callers and checks them."""

from __future__ import annotations

import json
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from flamingovalve.http.messages import Response
from standins.engine import tokens_of
from tests.rig.fleet import Fleet, completion_call, outcome_of, pay_call

if TYPE_CHECKING:
    import curio

OK = 200


@dataclass
class Payment:
    """One attempt of a call that must not run twice.

    :ivar key: idempotency key, the same for all attempts of a call
    """

    key: str
    order: str
    vm_id: str
    sent_at: float
    task: curio.Task


@dataclass
class Completion:
    """One completion request."""

    name: str
    prompt: str
    stream: bool
    vm_id: str
    sent_at: float
    task: curio.Task


@dataclass
class History:
    """All requests of the callers of one fleet."""

    fleet: Fleet
    payments: list[Payment] = field(default_factory=list)
    completions: list[Completion] = field(default_factory=list)
    versions_by_vm: dict[str, int] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)

    def pay(self, vm_id: str, key: str, order: str) -> Payment:
        """Send a payment without waiting for its response."""
        address = self.fleet.vms_by_id[vm_id].http_address
        task = self.fleet.caller.start(address, pay_call(key, order), 100)
        sent_at = self.fleet.world.current_time
        payment = Payment(key, order, vm_id, sent_at, task)
        self.payments.append(payment)
        return payment

    def complete(
        self,
        vm_id: str,
        name: str,
        prompt: str,
        *,
        stream: bool,
        **options: Any,
    ) -> Completion:
        """Send a completion without waiting for its response."""
        address = self.fleet.vms_by_id[vm_id].http_address
        call = completion_call(name, prompt, stream=stream, **options)
        task = self.fleet.caller.start(address, call, 110)
        sent_at = self.fleet.world.current_time
        sent = Completion(name, prompt, stream, vm_id, sent_at, task)
        self.completions.append(sent)
        return sent

    def observe(self) -> None:
        """Check that no daemon has reverted to an older version."""
        for daemon in self.fleet.daemons():
            self._observe_version(daemon)

    def finish(self, seconds: float = 150) -> None:
        """Wait until every request has ended."""
        tasks = [sent.task for sent in (*self.payments, *self.completions)]
        self.fleet.world.run_until(
            lambda: all(task.terminated for task in tasks),
            seconds,
        )

    def check(self) -> list[str]:
        """Return a description of each violation."""
        self.observe()
        self._check_payments()
        self._check_completions()
        self._check_evictions()
        return self.violations

    def _observe_version(self, daemon: Any) -> None:
        vm_id = daemon.settings.vm.id
        version = daemon.inventory().version if daemon.is_ready else 0
        known = self.versions_by_vm.get(vm_id, 0)
        if daemon.is_ready and version < known:
            self._add_violation(
                f'{vm_id} went from version {known} to {version}'
            )
        self.versions_by_vm[vm_id] = max(version, known)

    def _check_payments(self) -> None:
        outcomes_by_key: dict[str, list[Any]] = defaultdict(list)
        for payment in self.payments:
            outcomes_by_key[payment.key].append(outcome_of(payment.task))
        for key, outcomes in outcomes_by_key.items():
            self._check_key(key, outcomes)

    def _check_key(self, key: str, outcomes: list[Any]) -> None:
        runs = sum(
            service.runs_by_key[key]
            for service in self.fleet.services_by_id.values()
        )
        if runs > 1:
            self._add_violation(f'{key[-12:]} ran {runs} times')
        answers = [
            outcome for outcome in outcomes if isinstance(outcome, Response)
        ]
        bodies = {answer.body for answer in answers if answer.status == OK}
        if len(bodies) > 1:
            self._add_violation(f'{key[-12:]} got different answers')
        if bodies and not runs:
            self._add_violation(f'{key[-12:]} was answered and did not run')
        refused = [answer for answer in answers if answer.status != OK]
        reported = {_ran(answer) for answer in refused}
        if 'no' in reported and runs:
            attempts = self._attempts(key)
            self._add_violation(
                f'{key[-12:]} was called "not run" and ran: {attempts}'
            )

    def _attempts(self, key: str) -> list[str]:
        """Return each attempt with ``key`` and its outcome."""
        lines = []
        for payment in self.payments:
            if payment.key != key:
                continue
            outcome = outcome_of(payment.task)
            description = repr(outcome)
            if isinstance(outcome, Response):
                description = f'{outcome.status} {outcome.body[:160]!r}'
            lines.append(
                f'{payment.sent_at:.3f} {payment.vm_id}: {description}'
            )
        return lines

    def _check_completions(self) -> None:
        for sent in self.completions:
            outcome = outcome_of(sent.task)
            if outcome is None:
                self._add_violation(f'{sent.prompt} got no answer at all')
            if isinstance(outcome, Response) and outcome.status == OK:
                self._check_text(sent, outcome)

    def _check_text(self, sent: Completion, response: Response) -> None:
        content = {'messages': [{'role': 'user', 'content': sent.prompt}]}
        expected = ''.join(tokens_of(sent.name, content))
        if _text(response.body, stream=sent.stream) != expected:
            self._add_violation(f'{sent.prompt} got a wrong or partial answer')

    def _check_evictions(self) -> None:
        for engine in self.fleet.engines_by_id.values():
            if engine.counted.evicted_in_use:
                count = engine.counted.evicted_in_use
                self._add_violation(f'{engine.name} evicted {count} in use')

    def _add_violation(self, violation: str) -> None:
        self.violations.append(violation)


def _ran(response: Response) -> str:
    return json.loads(response.body)['error']['ran']


def _text(body: bytes, *, stream: bool) -> str:
    if not stream:
        choice = json.loads(body)['choices'][0]
        return choice['message']['content']
    events = body.decode().split('\n\n')
    if events[-2:] != ['data: [DONE]', '']:
        return ''
    chunks = [json.loads(event[len('data: ') :]) for event in events[:-2]]
    return ''.join(chunk['choices'][0]['delta']['content'] for chunk in chunks)
