"""The command that runs the daemon, one process on each entry VM."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from flamingovalve import VERSION
from flamingovalve.cmd import service
from flamingovalve.config.settings import load_settings
from flamingovalve.generated.settings import Settings

_DESCRIPTION = """Run the flamingovalve daemon on an entry VM.

Example: flamingovalved /etc/flamingovalve.ini

SIGTERM or SIGINT drains: the VM tells the others, accepts no new work after
fleet.leave_seconds, finishes the requests in progress and exits with
status 0. SIGHUP reloads the [logging] section. The daemon exits with
status 2 if the settings have faults.
"""


@dataclass
class Arguments:
    """Command-line arguments of the daemon."""

    settings: Annotated[Path, cappa.Arg(help='path of the INI settings file')]


def read_settings(path: Path) -> Settings:
    """Load the settings, or exit with every fault on standard error."""
    outcome = load_settings(path)
    if outcome.is_error():
        lines = '\n'.join(str(fault) for fault in outcome.error)
        raise cappa.Exit(lines, code=service.EXIT_SETTINGS)
    return outcome.ok


def run(arguments: Arguments) -> None:
    """Load the settings and run the daemon."""
    service.run(arguments.settings, read_settings(arguments.settings))


def main() -> None:
    """Run the command line."""
    command = cappa.command(
        name='flamingovalved',
        description=_DESCRIPTION,
        invoke=run,
    )
    cappa.invoke(command(Arguments), version=VERSION)


if __name__ == '__main__':
    main()
