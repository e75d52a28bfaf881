"""A caller's request as the gateway works with it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from flamingovalve.gateway.model import NO_WORKSPACE
from flamingovalve.generated.ids import ServiceId, WorkspaceId
from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.gateway.model import Route
    from flamingovalve.generated.ids import AdapterId, ModelId, RequestId
    from flamingovalve.generated.messages import PromptPart
    from flamingovalve.http.messages import HeaderList

_MOMENT_SECONDS: Final = 0.001
# When callers of the users' platform leave a stream that is silent.
_SHORTEST_SILENCE_SECONDS: Final = 2.0
_TARGETS_OF_SILENCE: Final = 4
_PAUSES_OF_SILENCE: Final = 8


def _nobody_left() -> bool:
    return False


@dataclass(slots=True)
class Completion:
    """What a request asks of a model engine.

    :ivar adapter: empty for the base model
    :ivar output_tokens: most tokens of the answer
    :ivar parts: parts of the prompt, in order; others may share them
    """

    model: ModelId
    adapter: AdapterId
    prompt_tokens: int
    output_tokens: int
    parts: list[PromptPart]


@dataclass(slots=True)
class InboundRequest:
    """One request with the route that it takes.

    :ivar id: name that the caller gave this request; no other has it
    :ivar headers: what is passed on; connection headers and those that are
        this system's to set are left out
    :ivar received_at: when it was read, on our clock
    :ivar deadline: when its caller or its route stops waiting, on our clock
    :ivar patience: seconds that the caller was ready to wait
    :ivar priority: 0 is the most urgent
    :ivar workspace: the owner of its API key; empty if its route needs no key
    :ivar tokens: prompt and output tokens as counted by the caller; none if
        it sent no counts
    :ivar service: the one of the route's services that it goes to
    :ivar tried: upstreams that it was sent to and that may have run it
    :ivar refused_by: upstreams that did not run it
    :ivar has_caller_left: tells whether its caller closed the connection
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
    tried: list[str] = field(default_factory=list)
    refused_by: list[str] = field(default_factory=list)
    has_caller_left: Callable[[], bool] = _nobody_left

    def remaining(self) -> float:
        """Give the seconds left until the deadline."""
        return self.deadline - clock.now()

    def time_left(self) -> float:
        """Give the seconds left, at least a moment, for a wait with a limit."""
        return max(self.remaining(), _MOMENT_SECONDS)

    def until_first_event(self) -> float:
        """Give the seconds after which the caller of a stream has left.

        Callers leave a stream that shows nothing for two seconds, four times
        the target or eight times the longest pause, whichever is longest.
        """
        route = self.route
        patience = max(
            _SHORTEST_SILENCE_SECONDS,
            _TARGETS_OF_SILENCE * route.target_latency,
            _PAUSES_OF_SILENCE * route.longest_pause,
        )
        waited = clock.now() - self.received_at
        return min(self.remaining(), patience - waited)

    def until_late(self) -> float:
        """Give the seconds left until an answer counts as late."""
        return self.received_at + self.route.target_latency - clock.now()
