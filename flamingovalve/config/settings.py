"""Reads and checks the INI settings of a daemon."""

from __future__ import annotations

import configparser
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from flamingovalve.config.checker import read_struct
from flamingovalve.errors import Fault
from flamingovalve.generated.settings import SECTIONS, Settings
from flamingovalve.util.listeners import split_address

if TYPE_CHECKING:
    from pathlib import Path


_SHORTEST_KEY = 16


def load_settings(path: Path) -> Result[Settings, list[Fault]]:
    """Read the settings file at ``path``."""
    try:
        text = path.read_text('utf-8')
    except (OSError, UnicodeDecodeError) as failed:
        fault = Fault(str(path), str(failed), 'name a readable INI file')
        return Error([fault])
    return parse_settings(text, str(path))


def parse_settings(text: str, place: str) -> Result[Settings, list[Fault]]:
    """Read settings from the text of an INI file.

    :param text: the text
    :param place: name of the file, for messages
    :returns: the settings, or every fault found
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, place)
    except configparser.Error as bad:
        return Error([Fault(place, str(bad), 'mend the INI syntax')])
    faults: list[Fault] = []
    settings = Settings()
    for section in parser.sections():
        _read_section(settings, section, dict(parser[section]), faults)
    faults.extend(_missing(settings))
    return Error(faults) if faults else Ok(settings)


def _read_section(
    settings: Settings,
    section: str,
    raw: dict[str, str],
    faults: list[Fault],
) -> None:
    if section not in SECTIONS:
        names = ', '.join(SECTIONS)
        faults.append(Fault(section, 'unknown section', f'use {names}'))
        return
    outcome = read_struct(SECTIONS[section], raw, section)
    if outcome.is_ok():
        setattr(settings, section, outcome.ok)
    else:
        faults.extend(outcome.error)


def _missing(settings: Settings) -> list[Fault]:
    faults = [
        Fault(f'vm.{name}', 'is missing', 'name it')
        for name in ('id', 'failure_domain')
        if not getattr(settings.vm, name)
    ]
    addresses = {
        'vm.http_address': settings.vm.http_address,
        'vm.peer_address': settings.vm.peer_address,
        'configuration.address': settings.configuration.address,
    }
    for index, seed in enumerate(settings.fleet.seeds):
        addresses[f'fleet.seeds[{index}]'] = seed
    for place, address in addresses.items():
        try:
            split_address(address)
        except ValueError as bad:
            faults.append(Fault(place, str(bad), 'write IP:port'))
    if len(settings.fleet.key_current) < _SHORTEST_KEY:
        faults.append(
            Fault(
                'fleet.key_current',
                f'is shorter than {_SHORTEST_KEY} characters',
                'write a long random key, the same on every VM',
            ),
        )
    return faults
