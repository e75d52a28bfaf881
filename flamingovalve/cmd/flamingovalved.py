"""The daemon: one process on each entry VM."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from flamingovalve import VERSION
from flamingovalve.cmd import service
from flamingovalve.config.settings import load_settings
from flamingovalve.generated.settings import Settings

_EXAMPLE = """Run one entry VM of flamingovalve.

Example: flamingovalved /etc/flamingovalve.ini

SIGTERM or SIGINT drains: the VM tells the others, takes no new work after
fleet.leave_seconds, finishes what is in progress and ends with status 0.
SIGHUP reads the [logging] section again. Faults in the settings end it
with status 2.
"""


@dataclass
class Arguments:
    """Arguments of the daemon."""

    settings: Annotated[Path, cappa.Arg(help='the INI settings file')]


def read_settings(path: Path) -> Settings:
    """Read the settings, or end with every fault on standard error."""
    outcome = load_settings(path)
    if outcome.is_error():
        lines = '\n'.join(str(fault) for fault in outcome.error)
        raise cappa.Exit(lines, code=service.EXIT_SETTINGS)
    return outcome.ok


def run(arguments: Arguments) -> None:
    """Run the daemon as the arguments say."""
    service.run(arguments.settings, read_settings(arguments.settings))


def main() -> None:
    """Start from the command line."""
    command = cappa.command(
        name='flamingovalved',
        description=_EXAMPLE,
        invoke=run,
    )
    cappa.invoke(command(Arguments), version=VERSION)


if __name__ == '__main__':
    main()
