"""A SIGHUP while a process starts ends the process."""

# flake8: noqa

from __future__ import annotations

import asyncio
import signal
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / 'rig-2'))

from stand_ins import (  # noqa: E402
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    TROUBLE,
    Gateway,
    Record,
    Runner,
    Store,
    configuration,
    fresh_hosts,
    run,
)

_ROUNDS = 3
# RULES, Fault: "on a tenth of the machines in use (two at least) processes end
# by themselves three times in the day".
_MACHINES_THAT_END = 2
_ENDS = 3
_GRACE_SECONDS = 8.0
# The process runs for this long when its settings file changes.
_UPTIME_SECONDS = 0.1


async def case(record: Record, gateways: list[Gateway]) -> int:
    """Replace processes in turn; change their settings as they start."""
    hosts = fresh_hosts(6)
    store = Store(hosts[0])
    await store.start()
    runners = [
        Runner(f'i-{number}', f'{host}:8500', record)
        for number, host in enumerate(hosts[1:3])
    ]
    for runner in runners:
        await runner.start()
        store.put(f'servers/{runner.name}', runner.entry())
    store.put('op/config', configuration(1))
    gateways += [Gateway(host, hosts[3:6], store) for host in hosts[3:6]]
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        if not await gateway.is_ready(20):
            return COULD_NOT_RUN
    ends: Counter[str] = Counter()
    for _round in range(_ROUNDS):
        for gateway in gateways:
            ends[gateway.host] += await _replace(gateway, record)
            if not await gateway.is_ready(20):
                return COULD_NOT_RUN
    record.add('processes that ended by themselves', by_machine=dict(ends))
    ended = [host for host, count in ends.items() if count >= _ENDS]
    return BROKEN if len(ended) >= _MACHINES_THAT_END else HELD


async def _replace(gateway: Gateway, record: Record) -> bool:
    """Replace a process as planned; return whether the new one ends."""
    gateway.signal(signal.SIGTERM)
    record.add('SIGTERM', machine=gateway.host)
    status = await gateway.ended(_GRACE_SECONDS)
    record.add('ended', machine=gateway.host, status=status)
    gateway.start()
    record.add('started', machine=gateway.host)
    await asyncio.sleep(_UPTIME_SECONDS)
    gateway.settings.write_text(gateway.settings.read_text())
    if TROUBLE:
        gateway.signal(signal.SIGHUP)
        record.add('SIGHUP', machine=gateway.host)
    status = await gateway.ended(1.0)
    if status is None:
        return False
    record.add('ended by itself', machine=gateway.host, status=status)
    gateway.start()
    return True


run(case, Path(__file__).parent)
