"""Builds and runs the daemon that a settings file describes.

Does not import the command-line libraries, which a VM does not need and
which would take memory.
"""

from __future__ import annotations

import os
import signal
import sys
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, NoReturn

import curio

from flamingovalve.cmd.reloads import SettingsReloads
from flamingovalve.config.settings import load_settings
from flamingovalve.util import clock
from flamingovalve.util.listeners import EarlyListeners
from flamingovalve.util.logs import LogOutput, get_logger
from flamingovalve.util.network import Network
from flamingovalve.util.signal_record import (
    HANG_UP,
    INTERRUPT,
    TERMINATE,
    SignalRecord,
    ignore_signals,
)
from flamingovalve.util.signals import SignalQueue

if TYPE_CHECKING:
    from pathlib import Path
    from typing import Protocol

    from flamingovalve.generated.settings import Settings

    class Leaving(Protocol):
        """A daemon that can be drained."""

        async def run(self) -> None:
            """Serve until stopped."""

        async def begin_leaving(self, since: float | None = None) -> None:
            """Finish what is in progress, then stop.

            :param since: when the platform asked for it, on the monotonic
                clock; defaults to the current time
            """


logger = get_logger(__name__)

EXIT_FAILURE: Final = 1
EXIT_SETTINGS: Final = 2
# Times that a daemon which has not started yet is built again for settings
# that change meanwhile.
_MAX_REBUILDS: Final = 3


@dataclass(frozen=True, slots=True)
class Start:
    """State from the start of the process, before the daemon is built.

    :ivar signals: what has arrived since the process began
    :ivar listeners: listening sockets that are already open
    :ivar began_at: start of the process, on the monotonic clock
    """

    signals: SignalRecord
    listeners: EarlyListeners = field(default_factory=EarlyListeners)
    began_at: float = field(default_factory=clock.now)


def build(settings: Settings, start: Start) -> Leaving:
    """Build the platform daemon if a store is set, else the plain one."""
    network = Network(start.listeners)
    if settings.platform.store:
        from flamingovalve.gateway.daemon import GatewayDaemon
        from flamingovalve.platform.adapter import UsersPlatform

        platform = UsersPlatform(settings.platform.store)
        return GatewayDaemon.from_config(
            settings, network, platform, started_at=start.began_at
        )
    from flamingovalve.daemon import Daemon

    return Daemon.from_config(settings, network)


async def serve(
    path: Path,
    settings: Settings,
    output: LogOutput,
    start: Start,
) -> None:
    """Run the daemon until it has drained."""
    reloads = SettingsReloads(path, settings, output)
    daemon = build(settings, start)
    for _attempt in range(_MAX_REBUILDS):
        if not start.signals.take_one(HANG_UP):
            break
        daemon = build(reloads.read_all(), start)
    start.listeners.keep(caller_addresses(reloads.settings))
    await curio.spawn(reloads.apply_forever, daemon=True)
    await curio.spawn(_handle_signals, daemon, reloads, start, daemon=True)
    await daemon.run()


async def serve_and_exit(
    path: Path,
    settings: Settings,
    output: LogOutput,
    start: Start,
) -> None:
    """Run the daemon, then exit without waiting for its tasks.

    Tasks that wait for unreachable peers would otherwise keep the
    interpreter running until the platform kills it.
    """
    try:
        await serve(path, settings, output, start)
    except Exception:
        logger.exception('the daemon failed')
        exit_process(EXIT_FAILURE)
    exit_process()


def caller_addresses(settings: Settings) -> set[str]:
    """Return the addresses at which callers connect."""
    return {settings.vm.http_address, settings.platform.directory_address}


def exit_process(status: int = 0) -> NoReturn:
    """Flush the output and exit at once."""
    ignore_signals()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)


async def _handle_signals(
    daemon: Leaving, reloads: SettingsReloads, start: Start
) -> None:
    """Leave and reload as signals ask, each in a task of its own."""
    signals = start.signals
    if signals.take_one(TERMINATE) or signals.take_one(INTERRUPT):
        # It may have come as early as the process began.
        await curio.spawn(daemon.begin_leaving, start.began_at, daemon=True)
    async for number in SignalQueue(signals):
        if number is signal.SIGHUP:
            await reloads.request()
        else:
            await curio.spawn(daemon.begin_leaving, daemon=True)


def main(path: Path, start: Start) -> NoReturn:
    """Run the daemon with the settings file at ``path``, then exit.

    Exits with status 2 and prints every fault if the settings have any.
    """
    outcome = load_settings(path)
    if outcome.is_error():
        sys.stderr.write('\n'.join(map(str, outcome.error)))
        exit_process(EXIT_SETTINGS)
    output = LogOutput()
    output.apply(outcome.ok.logging)
    curio.run(serve_and_exit, path, outcome.ok, output, start)
    raise AssertionError('a daemon exits with its process')
