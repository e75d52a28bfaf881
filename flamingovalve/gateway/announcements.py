"""What upstreams announce about themselves in their responses."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingovalve.generated.ids import UpstreamId


class Purpose(Enum):
    """Why a request is sent to an upstream."""

    SERVE = 'serve'
    REPORT = 'report'
    ORDER = 'order'


@dataclass(frozen=True, slots=True)
class Announcement:
    """What one response says about its upstream.

    :ivar rate_limit: requests per second that the upstream accepts from all
        VMs together; None if it names no limit
    :ivar is_leaving: whether it accepts no new requests
    :ivar rest_seconds: for how long it wants no requests from this VM; 0
        unless it has rejected the request
    :ivar is_success: whether this is the response to the request, and a
        success, so that what it does not announce is not in force
    :ivar bears: rejections per second for lack of room after which the upstream
        falls over; 0 if it names none
    :ivar is_rejection: whether it rejected the request for lack of room
    :ivar is_own: whether this is the response to the request
    """

    rate_limit: float | None = None
    is_leaving: bool = False
    rest_seconds: float = 0
    is_success: bool = True
    bears: float = 0
    is_rejection: bool = False
    is_own: bool = True


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request to an upstream that was sent.

    :ivar sent_at: when it was sent, on the monotonic clock
    :ivar request_id: id that its response repeats; empty for none
    """

    upstream: UpstreamId
    purpose: Purpose
    sent_at: float
    request_id: str = ''
