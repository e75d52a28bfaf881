"""Stand-in for a plain service that counts the runs of each call."""

from __future__ import annotations

import json
from collections import Counter
from typing import TYPE_CHECKING, Any

import curio

from flamingovalve.errors import ConnectionLost
from flamingovalve.http.messages import Request, Response
from standins.base import StandIn

if TYPE_CHECKING:
    from flamingovalve.http.server import Responder
    from flamingovalve.util.network import Network


class PlainServiceStandIn(StandIn):
    """Runs calls and counts the runs by idempotency key and by order.

    :ivar run_seconds: duration of a run
    :ivar drop_before_run: number of next calls whose connection is dropped
        before the run
    :ivar drop_after_run: number of next calls whose connection is dropped
        after the run
    """

    def __init__(self, network: Network, address: str) -> None:
        """Create a service that has run nothing."""
        super().__init__(network, address)
        self.runs_by_key: Counter[str] = Counter()
        self.runs_by_order: Counter[str] = Counter()
        self.run_seconds = 0.01
        self.drop_before_run = 0
        self.drop_after_run = 0

    def statistics(self) -> dict[str, Any]:
        """Return the numbers of keys, of runs and the most runs of one key."""
        return {
            'keys': len(self.runs_by_key),
            'runs': sum(self.runs_by_key.values()),
            'most_runs_of_a_key': max(self.runs_by_key.values(), default=0),
        }

    async def answer(self, request: Request, responder: Responder) -> None:
        """Run one call."""
        if self.drop_before_run:
            self.drop_before_run -= 1
            raise ConnectionLost('dropped before the run')
        key = request.headers.get('idempotency-key', '')
        self.runs_by_key[key] += 1
        order = _order_name(request.body)
        self.runs_by_order[order] += 1
        await curio.sleep(self.run_seconds)
        if self.drop_after_run:
            self.drop_after_run -= 1
            raise ConnectionLost('dropped after the run')
        await responder.send(
            Response.from_json(
                {
                    'call': request.path.strip('/'),
                    'order': order,
                    'run': self.runs_by_key[key],
                },
            ),
        )


def _order_name(body: bytes) -> str:
    try:
        parsed = json.loads(body)
    except ValueError:
        return ''
    return str(parsed.get('order', '')) if isinstance(parsed, dict) else ''
