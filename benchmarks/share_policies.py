"""Compares orders of waiting requests: ``python -m benchmarks.share_policies``.

Plays the queue of one owner without a network while one workspace sends seven
times its usual load beside fifteen others: in order of arrival, by start-time
fair queueing (the policy in use) and by deficit round robin.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

import logbook

from flamingovalve.cmd.tables import table
from flamingovalve.gateway.fair_shares import FairShares
from flamingovalve.gateway.share_lanes import tokens_of
from tests.rig.queue_play import (
    Arrival,
    QueuePlay,
    flooded_arrivals,
    in_time_by_workspace,
)

if TYPE_CHECKING:
    from flamingovalve.generated.ids import WorkspaceId
    from flamingovalve.generated.messages import PlaceAsk

_ENGINES: Final = 8
_SECONDS: Final = 20.0
_USUAL_PER_SECOND: Final = (5.0, 6.0, 7.0)
_FLOODING: Final = 'w0'
# Tokens that a workspace may use in each round.
_QUANTUM: Final = 2048


class DeficitRoundRobin(FairShares):
    """Serves each workspace a quantum of tokens in each round.

    Its virtual time is the start of a round, so workspaces of the same round
    are served in order of arrival.
    """

    def __init__(self, weights: dict[WorkspaceId, float]) -> None:
        """Start in the first round."""
        super().__init__(weights)
        self._used: dict[WorkspaceId, float] = {}

    def charge(self, ask: PlaceAsk, *, is_load: bool = False) -> None:
        """Move a workspace to a later round if its quantum is used up."""
        lane = self._lane(ask)
        used = self._used.get(ask.workspace, 0)
        used += tokens_of(ask, is_load=is_load) / lane.weight
        lane.start += used // _QUANTUM * _QUANTUM
        self._used[ask.workspace] = used % _QUANTUM
        self._rank(lane)
        heads = self._heads[0] or self._heads[1]
        if heads:
            first_start = heads.peekitem(0)[0][0]
            self._virtual_time = max(self._virtual_time, first_start)
        self._forget_idle()


def main() -> None:
    """Play each policy on the same load and print the table."""
    logbook.NullHandler().push_application()
    rows = []
    for per_second in _USUAL_PER_SECOND:
        usual = flooded_arrivals(per_second, _SECONDS, flood=0)
        _play(usual, FairShares({}))
        for name, shares in (
            ('arrival', FairShares({}, is_enabled=False)),
            ('start-time fair queueing', FairShares({})),
            ('deficit round robin', DeficitRoundRobin({})),
        ):
            arrivals = flooded_arrivals(per_second, _SECONDS)
            seconds = _play(arrivals, shares)
            row = (f'{per_second:.0f}', name, *_summarise(usual, arrivals))
            rows.append((*row, f'{seconds:.1f}'))
    headings = (
        'USUAL/S',
        'ORDER',
        'OTHERS KEEP',
        'LEAST KEEPS',
        'FLOODING',
        'IN TIME',
        'LONGEST WAIT',
        'SECONDS',
    )
    print(table(headings, rows))


def _play(arrivals: list[Arrival], shares: FairShares) -> float:
    """Play arrivals; return the seconds of processor time."""
    started_at = time.process_time()
    QueuePlay(_ENGINES, shares=shares).run(arrivals)
    return time.process_time() - started_at


def _summarise(
    usual: list[Arrival], arrivals: list[Arrival]
) -> tuple[str, ...]:
    before = in_time_by_workspace(usual)
    after = in_time_by_workspace(arrivals)
    kept = sum(after[name] for name in before) / before.total()
    least = min(after[name] / before[name] for name in before)
    waits = [one.latency or 0 for one in arrivals if one.workspace != _FLOODING]
    return (
        f'{kept:.3f}',
        f'{least:.3f}',
        str(after[_FLOODING]),
        str(after.total()),
        f'{max(waits):.2f}',
    )


if __name__ == '__main__':
    main()
