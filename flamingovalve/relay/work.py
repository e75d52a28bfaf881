"""A completion request and its routing state."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from functools import cached_property
from typing import TYPE_CHECKING, Any, Self

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.generated.ids import (
    AdapterId,
    ApplicationId,
    EngineId,
    Fingerprint,
    ModelId,
    RequestId,
    VersionId,
)
from flamingovalve.generated.messages import ForwardCompletion
from flamingovalve.generated.settings import Priority
from flamingovalve.util import clock, hashing

if TYPE_CHECKING:
    from flamingovalve.config.inventory import Target
    from flamingovalve.generated.settings import Application
    from flamingovalve.http.messages import Request

PATHS = frozenset(('/v1/chat/completions', '/v1/completions'))


@dataclass
class CompletionWork:
    """A completion request with the state needed to serve it.

    :ivar body: JSON whose ``model`` names adapter and version
    :ivar deadline: time on the monotonic clock
    :ivar offset: number of events that the caller has already received
    :ivar isolated: run it alone on its engine
    :ivar hops: number of VMs that have forwarded it
    :ivar engine: the engine that was tried last
    :ivar avoided: engines on which it has already failed
    """

    request_id: RequestId
    application: ApplicationId
    priority: Priority
    target: Target
    path: str
    body: bytes
    stream: bool
    deadline: float
    offset: int = 0
    isolated: bool = False
    hops: int = 0
    engine: EngineId = EngineId('')
    avoided: set[EngineId] = field(default_factory=set)

    @classmethod
    def from_request(
        cls,
        request: Request,
        content: dict[str, Any],
        application: Application,
        target: Target,
        deadline: float,
    ) -> Self:
        """Build the work for a caller's validated request."""
        content['model'] = target.name
        return cls(
            RequestId(''),
            ApplicationId(application.id),
            application.priority,
            target,
            request.path,
            json.dumps(content, separators=(',', ':')).encode(),
            content.get('stream') is True,
            deadline,
        )

    @classmethod
    def from_forward(cls, message: ForwardCompletion, target: Target) -> Self:
        """Build the work from a message of a VM that forwarded it."""
        return cls(
            message.request_id,
            message.application,
            Priority(message.priority),
            target,
            message.path,
            message.body,
            message.stream,
            clock.now() + message.remaining,
            message.offset,
            message.isolated,
            message.hops,
        )

    def to_forward(self, engine: EngineId) -> ForwardCompletion:
        """Return the message that forwards the work to the engine's owner."""
        return ForwardCompletion(
            self.request_id,
            self.application,
            self.priority.value,
            AdapterId(self.target.adapter),
            VersionId(self.target.version),
            ModelId(self.target.model),
            engine,
            self.path,
            self.body,
            self.stream,
            self.offset,
            self.isolated,
            self.remaining(),
            self.hops + 1,
        )

    def remaining(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline - clock.now()

    @cached_property
    def fingerprint(self) -> Fingerprint:
        """Hash that is equal for resends of the same request."""
        digest = hashing.fingerprint(
            self.application,
            self.target.name,
            self.body,
        )
        return Fingerprint(digest)


def requested_model(content: dict[str, Any]) -> str:
    """Return the model that the body of a request names.

    :raises ServingError: if it names none
    """
    model = content.get('model')
    if not isinstance(model, str) or not model:
        raise ServingError(
            ErrorKind.MALFORMED_REQUEST,
            "the body does not name a model; set 'model' to ADAPTER or "
            'ADAPTER@VERSION',
        )
    return model
