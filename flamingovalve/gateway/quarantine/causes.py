"""What a request shares with others, as possible causes of upstreams' ends."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum
from typing import TYPE_CHECKING, Final

from flamingovalve.generated.ids import Fingerprint
from flamingovalve.util import hashing

if TYPE_CHECKING:
    from collections.abc import Iterator

    from flamingovalve.gateway.inbound import Completion, InboundRequest

# The lowest bits of a fingerprint hold its kind.
_KIND_BITS: Final = 3
_KIND_MASK: Final = (1 << _KIND_BITS) - 1
# The highest bits of the fingerprint of a call, with and without its caller.
_CALL_MASK: Final = 0xFFFFFFFF00000000
_MAX_NAME_CHARACTERS: Final = 80


class CauseKind(IntEnum):
    """What requests with one cause have in common.

    :cvar CALL: method, host, target, adapter and body
    :cvar CALL_OF_CALLER: these and the caller
    :cvar PATH: method, host and path without query
    :cvar CALLER: workspace, and host of the connection
    :cvar MODEL: base model
    :cvar ADAPTER: adapter and its base model
    :cvar PART: part of the prompt
    """

    CALL = 0
    CALL_OF_CALLER = 1
    PATH = 2
    CALLER = 3
    MODEL = 4
    ADAPTER = 5
    PART = 6


_CALL_KINDS: Final = frozenset((CauseKind.CALL, CauseKind.CALL_OF_CALLER))


@dataclass(frozen=True, slots=True)
class Cause:
    """One thing that requests have in common.

    :ivar name: what log lines call it
    """

    kind: CauseKind
    fingerprint: Fingerprint
    name: str

    @classmethod
    def from_text(cls, kind: CauseKind, *texts: str | bytes) -> Cause:
        """Return the cause that ``texts`` identify."""
        digest = hashing.fingerprint(*texts)
        last = texts[-1]
        name = last[:_MAX_NAME_CHARACTERS] if isinstance(last, str) else ''
        fingerprint = digest & ~_KIND_MASK | kind
        return cls(kind, Fingerprint(fingerprint), name)


def kind_of(fingerprint: Fingerprint) -> CauseKind:
    """Return the kind of a cause.

    :raises ValueError: if the fingerprint is not one of a cause
    """
    return CauseKind(fingerprint & _KIND_MASK)


def is_call(fingerprint: Fingerprint) -> bool:
    """Return whether only repeats of one request share a cause."""
    return fingerprint & _KIND_MASK in _CALL_KINDS


def is_same_call(one: Fingerprint, other: Fingerprint) -> bool:
    """Return whether two causes are one call, of any caller."""
    return is_call(one) and is_call(other) and not (one ^ other) & _CALL_MASK


def causes_of(request: InboundRequest) -> list[Cause]:
    """Return all causes of a request, those that repeats share first."""
    return [*_call_causes(request), *shared_causes(request)]


def call_of(request: InboundRequest) -> Fingerprint:
    """Return the cause that repeats of a request share, of any caller."""
    return _call_causes(request)[0].fingerprint


def shared_causes(request: InboundRequest) -> list[Cause]:
    """Return the causes that a request shares with different ones."""
    path = request.target.partition('?')[0]
    host = request.route.host
    causes = [Cause.from_text(CauseKind.PATH, request.method, host, path)]
    if request.caller:
        workspace, caller = request.workspace, request.caller
        causes.append(Cause.from_text(CauseKind.CALLER, workspace, caller))
    if request.completion is not None:
        causes.extend(_completion_causes(request.completion))
    return causes


def _call_causes(request: InboundRequest) -> tuple[Cause, Cause]:
    completion = request.completion
    call = Cause.from_text(
        CauseKind.CALL,
        request.route.host,
        request.method,
        request.target,
        completion.adapter if completion else '',
        request.body,
    )
    of_caller = Cause.from_text(
        CauseKind.CALL_OF_CALLER,
        f'{call.fingerprint}',
        request.workspace,
        request.caller,
    )
    digest = call.fingerprint & _CALL_MASK | of_caller.fingerprint & ~_CALL_MASK
    caller = replace(of_caller, fingerprint=Fingerprint(digest))
    return call, caller


def _completion_causes(completion: Completion) -> Iterator[Cause]:
    model = completion.model
    yield Cause.from_text(CauseKind.MODEL, model)
    if completion.adapter:
        yield Cause.from_text(CauseKind.ADAPTER, model, completion.adapter)
    for part in dict.fromkeys(completion.shared_parts()):
        yield Cause.from_text(CauseKind.PART, part)
