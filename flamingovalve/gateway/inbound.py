"""A caller's request, decoded and matched to its route."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from flamingovalve.gateway.model import NO_WORKSPACE
from flamingovalve.generated.ids import RequestId, ServiceId, WorkspaceId
from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.gateway.model import Route
    from flamingovalve.generated.ids import AdapterId, ModelId
    from flamingovalve.generated.messages import PromptPart, StreamOrigin
    from flamingovalve.http.messages import HeaderList

_MIN_TIMEOUT_SECONDS: Final = 0.001
# Callers of the users' platform disconnect from a stream that stays silent for
# the longest of these: a fixed time, a multiple of the target latency and a
# multiple of the targeted gap between events of the route.
_MIN_SILENCE_SECONDS: Final = 2.0
_SILENCE_PER_TARGET_LATENCY: Final = 4
_SILENCE_PER_EVENT_GAP: Final = 8
_MAX_SEND_WAIT_SHARE: Final = 0.5
# Below the patience of orders and reports, which would else never get a turn.
_MAX_SEND_WAIT_SECONDS: Final = 1.0
_MAX_LOGGED_CHARACTERS: Final = 256


def _never_disconnected() -> bool:
    return False


@dataclass(slots=True)
class Completion:
    """The part of a request that is addressed to a model engine.

    :ivar adapter: adapter to apply; empty for the base model
    :ivar output_tokens: upper limit of generated tokens
    :ivar parts: parts of the prompt, in order; other prompts may have parts
        in common
    """

    model: ModelId
    adapter: AdapterId
    prompt_tokens: int
    output_tokens: int
    parts: list[PromptPart]

    def shared_parts(self) -> list[str]:
        """Return the ids of the parts that other prompts may have.

        The last part of a prompt is its own.
        """
        return [part.id for part in self.parts[:-1]]


@dataclass(slots=True)
class InboundRequest:
    """A request and the state of serving it.

    :ivar id: unique id, assigned by the caller
    :ivar headers: headers to forward, without connection headers and headers
        that only the gateway may set
    :ivar received_at: when it was read, on the monotonic clock
    :ivar deadline: when its caller or its route gives up, on the monotonic
        clock
    :ivar patience: seconds that the caller was willing to wait
    :ivar priority: 0 is the most urgent
    :ivar workspace: owner of its API key; empty if its route needs no key
    :ivar tokens: prompt and output tokens as counted by the caller; None if
        it sent no counts
    :ivar service: service of the route that was chosen for this request
    :ivar resumed_id: earlier request that brought the first event of the stream
        that this one resumes; empty if its caller names none
    :ivar resumed_after: id of the last event that the caller has received; empty
        for a new stream
    :ivar origin: what began the stream; None before the first event of a new one
    :ivar tried: upstreams that may have run it
    :ivar refused_by: upstreams that did not run it
    :ivar accepted_after: seconds after which an upstream that has held it
        back or rejected it accepts it; infinite if none has
    :ivar caller: host that its connection comes from; empty if unknown
    :ivar losses: upstreams that were lost in this attempt
    :ivar lost_before: upstreams that had ended under it when it arrived
    :ivar is_answered: whether an upstream has answered it with success
    :ivar awaits_send: whether it waits until it can be sent, or sent again
    :ivar is_refused: whether it is refused, as this VM is leaving
    :ivar is_caller_disconnected: returns whether the caller has disconnected
    """

    id: RequestId
    method: str
    target: str
    headers: HeaderList
    body: bytes
    route: Route
    received_at: float
    deadline: float
    patience: float
    priority: int = 0
    workspace: WorkspaceId = NO_WORKSPACE
    tokens: int | None = None
    service: ServiceId = ServiceId('')
    completion: Completion | None = None
    resumed_id: RequestId = RequestId('')
    resumed_after: str = ''
    origin: StreamOrigin | None = None
    tried: list[str] = field(default_factory=list)
    refused_by: list[str] = field(default_factory=list)
    accepted_after: float = float('inf')
    caller: str = ''
    losses: int = 0
    lost_before: int = 0
    is_answered: bool = False
    awaits_send: bool = True
    is_refused: bool = False
    is_caller_disconnected: Callable[[], bool] = _never_disconnected

    def log_fields(self) -> dict[str, str]:
        """Return what a log line says of its adapter and of shared parts."""
        completion = self.completion
        parts = ','.join(completion.shared_parts()) if completion else ''
        return {
            'adapter': completion.adapter if completion else '',
            'parts': parts[:_MAX_LOGGED_CHARACTERS],
        }

    def remaining(self) -> float:
        """Return the seconds until the deadline; negative once passed."""
        return self.deadline - clock.now()

    def remaining_timeout(self) -> float:
        """Return the seconds until the deadline as a positive timeout."""
        return max(self.remaining(), _MIN_TIMEOUT_SECONDS)

    def first_event_timeout(self) -> float:
        """Return the seconds until the caller gives up on a silent stream.

        Callers disconnect if no event arrives within two seconds, four times
        the target latency or eight times the targeted event gap, whichever is
        the longest.
        """
        route = self.route
        patience = max(
            _MIN_SILENCE_SECONDS,
            _SILENCE_PER_TARGET_LATENCY * route.target_latency,
            _SILENCE_PER_EVENT_GAP * route.max_event_gap,
        )
        elapsed = clock.now() - self.received_at
        return min(self.remaining(), patience - elapsed)

    def send_patience(self) -> float:
        """Return the longest wait in seconds for an upstream to accept it.

        A request that would wait longer is better refused with the time
        after which an upstream accepts it: a queue of late requests would
        make those late that can still be in time.
        """
        patience = self.until_target_latency() * _MAX_SEND_WAIT_SHARE
        return min(max(patience, 0), _MAX_SEND_WAIT_SECONDS)

    def until_target_latency(self) -> float:
        """Return the seconds until the target latency; negative once passed."""
        return self.received_at + self.route.target_latency - clock.now()
