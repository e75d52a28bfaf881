"""Opens the ports for callers, then imports and runs the daemon.

Importing takes a third of a second on a small VM. If all VMs restart
together with closed ports, callers use up their retries during this time.
With the ports open, connections wait in the backlog until the daemon
accepts them.
"""

from __future__ import annotations

import configparser
import os
import sys
from pathlib import Path
from typing import Final

from flamingovalve.util import clock
from flamingovalve.util.listeners import EarlyListeners
from flamingovalve.util.signal_record import SignalRecord

SETTINGS_VARIABLE: Final = 'FLAMINGOVALVE_BOOT'
_CALLER_ADDRESS_OPTIONS: Final = (
    ('vm', 'http_address'),
    ('platform', 'directory_address'),
)


def caller_addresses(path: Path) -> list[str]:
    """Return the addresses in the settings at which callers connect.

    Returns none for settings that cannot be read; the daemon reports their
    faults.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read(path, 'utf-8')
    except (configparser.Error, UnicodeDecodeError):
        return []
    addresses = [
        parser.get(section, option, fallback='')
        for section, option in _CALLER_ADDRESS_OPTIONS
    ]
    return [address for address in addresses if address]


def main(signals: SignalRecord | None = None) -> None:
    """Run the daemon with the settings file from the environment.

    :param signals: what has been recorded since the start of the process;
        None if nothing is recorded yet
    """
    began_at = clock.now()
    signals = signals or SignalRecord.installed()
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        sys.exit(f'set {SETTINGS_VARIABLE} to the path of the settings file')
    listeners = EarlyListeners.opened(caller_addresses(Path(path)))

    from flamingovalve.cmd import service

    service.main(Path(path), service.Start(signals, listeners, began_at))


if __name__ == '__main__':
    main()
