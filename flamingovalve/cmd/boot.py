"""Opens the ports of a VM, then loads and runs its daemon.

Loading takes a third of a second on a small VM. When all VMs restart
together, callers would find every port closed meanwhile and use up their
retries; connections that wait in the backlog are served late instead.
"""

from __future__ import annotations

import configparser
import os
import sys
from pathlib import Path
from typing import Final

from flamingovalve.util import clock
from flamingovalve.util.listeners import EarlyListeners

SETTINGS_VARIABLE: Final = 'FLAMINGOVALVE_BOOT'
_CALLERS_PORTS: Final = (
    ('vm', 'http_address'),
    ('platform', 'directory_address'),
)


def callers_addresses(path: Path) -> list[str]:
    """Give the addresses at which the settings let callers connect.

    Settings that cannot be read give none; the daemon names their faults.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read(path, 'utf-8')
    except (configparser.Error, UnicodeDecodeError):
        return []
    named = [
        parser.get(section, option, fallback='')
        for section, option in _CALLERS_PORTS
    ]
    return [address for address in named if address]


def main() -> None:
    """Run the daemon whose settings the environment names."""
    began_at = clock.now()
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        sys.exit(f'set {SETTINGS_VARIABLE} to the path of the settings file')
    listeners = EarlyListeners.opened(callers_addresses(Path(path)))

    from flamingovalve.cmd import service

    service.main(Path(path), service.Start(listeners, began_at))


if __name__ == '__main__':
    main()
