"""The quarantine of a gateway daemon, connected to its other parts."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from flamingovalve.gateway.quarantine.quarantine import CrashQuarantine
from flamingovalve.membership.members import heard_count

if TYPE_CHECKING:
    from flamingovalve.gateway.upstream_access import UpstreamAccess
    from flamingovalve.generated.settings import Settings
    from flamingovalve.membership.members import MemberTable


def quarantine_from_config(
    settings: Settings, members: MemberTable, upstreams: UpstreamAccess
) -> CrashQuarantine:
    """Return the quarantine of a VM with these settings."""
    return CrashQuarantine(
        settings.relay.quarantine_seconds,
        upstreams.ends.find,
        upstreams.paths.worked_at,
        lambda cause: members.ranks_first(f'probe {cause}'),
        functools.partial(heard_count, members),
    )
