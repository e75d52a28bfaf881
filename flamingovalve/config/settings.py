"""Reads and checks the INI settings of a daemon."""

from __future__ import annotations

import configparser
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from flamingovalve.config.checker import read_struct
from flamingovalve.config.weights import read_weights
from flamingovalve.errors import Fault
from flamingovalve.generated.settings import SECTIONS, Settings
from flamingovalve.util.listeners import split_address

if TYPE_CHECKING:
    from pathlib import Path


_MIN_KEY_CHARACTERS = 16


def load_settings(path: Path) -> Result[Settings, list[Fault]]:
    """Read the settings file at ``path``."""
    try:
        text = path.read_text('utf-8')
    except (OSError, UnicodeDecodeError) as failed:
        fault = Fault(str(path), str(failed), 'use a readable INI file')
        return Error([fault])
    return parse_settings(text, str(path))


def parse_settings(text: str, place: str) -> Result[Settings, list[Fault]]:
    """Parse settings from the text of an INI file.

    :param text: content of the file
    :param place: name of the file, for fault messages
    :returns: the settings, or every fault found
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, place)
    except configparser.Error as bad:
        return Error([Fault(place, str(bad), 'correct the INI syntax')])
    faults: list[Fault] = []
    settings = Settings()
    for section in parser.sections():
        _read_section(settings, section, dict(parser[section]), faults)
    faults.extend(_validate(settings))
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


def _validate(settings: Settings) -> list[Fault]:
    faults = [
        Fault(f'vm.{name}', 'is missing', 'set it')
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
            faults.append(Fault(place, str(bad), 'use IP:port'))
    if len(settings.fleet.key_current) < _MIN_KEY_CHARACTERS:
        faults.append(
            Fault(
                'fleet.key_current',
                f'is shorter than {_MIN_KEY_CHARACTERS} characters',
                'use a long random key, the same on every VM',
            ),
        )
    _weights, weight_faults = read_weights(settings.gateway.workspace_weights)
    return faults + weight_faults
