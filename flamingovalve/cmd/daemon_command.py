"""The command line of the daemon, one process on each entry VM."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import cappa

from flamingovalve import VERSION
from flamingovalve.cmd import service

if TYPE_CHECKING:
    from flamingovalve.util.signal_record import SignalRecord

_DESCRIPTION = """Run the flamingovalve daemon on an entry VM.

Example: flamingovalved /etc/flamingovalve.ini

SIGTERM or SIGINT drains: the VM tells the others, accepts no new work after
fleet.leave_seconds, finishes the requests in progress and exits with
status 0. SIGHUP reloads the [logging] section, and all settings while the
daemon starts. The daemon exits with status 2 if the settings have faults.
"""


@dataclass
class Arguments:
    """Command-line arguments of the daemon."""

    settings: Annotated[Path, cappa.Arg(help='path of the INI settings file')]


def main(signals: SignalRecord) -> None:
    """Read the command line and run the daemon.

    :param signals: what has been recorded since the start of the process
    """
    command = cappa.command(name='flamingovalved', description=_DESCRIPTION)
    arguments = cappa.parse(command(Arguments), version=VERSION)
    service.main(arguments.settings, service.Start(signals))
