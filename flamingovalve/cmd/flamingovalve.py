"""The command-line tool for operators and callers."""

from __future__ import annotations

import hashlib
import json
import sys
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from typing import Annotated, Any

import cappa
import curio

from flamingovalve import VERSION
from flamingovalve.cmd.account import Account
from flamingovalve.cmd.tables import state_table
from flamingovalve.config.inventory import (
    CompactPage,
    InventoryBuilder,
    parse_manifest,
    parse_page,
    parse_vm_list,
)
from flamingovalve.config.settings import load_settings
from flamingovalve.errors import ConnectionLost, Fault
from flamingovalve.generated.settings import RelaySettings
from flamingovalve.http.client import ConnectionPool, UpstreamCall
from flamingovalve.http.messages import Response
from flamingovalve.util.network import Network

EXIT_FAULTS = 1
EXIT_UNREACHABLE = 3
EXIT_REFUSED = 4

_RESPONSE_TIMEOUT_SECONDS = 120

_DESCRIPTION = """Inspect and operate flamingovalve.

Exit status: 0 success, 1 faults found, 2 wrong usage, 3 the VM cannot be
reached, 4 the VM refused the request.

Examples:
  flamingovalve check vm-0.ini
  flamingovalve check inventory/manifest.json
  flamingovalve entry 127.0.0.1:8080 --model scarf-1 --application studio
  flamingovalve send 127.0.0.1:8080 --model scarf-1 --application studio hello
  flamingovalve state 127.0.0.1:8080 --json
  flamingovalve account logs/*.log --request 5d454e7725b9cef4
  flamingovalve drain 127.0.0.1:8080 --secret SECRET
"""

Address = Annotated[str, cappa.Arg(help='IP:port of a VM')]
AsJson = Annotated[bool, cappa.Arg(long='--json', help='print JSON')]


@dataclass
class Check:
    """Check a settings file (.ini) or an exported inventory (.json).

    Pass the manifest to check an inventory. Each page is read from the
    manifest's directory, from a file named after the last part of its key.
    """

    path: Annotated[Path, cappa.Arg(help='path of the file')]
    json: AsJson = False

    def __call__(self) -> None:
        """Print every fault with its location and remedy."""
        faults = check_file(self.path)
        if self.json:
            listed = [vars(fault) for fault in faults]
            print(json.dumps({'faults': listed}))
        else:
            for fault in faults:
                print(fault)
        if faults:
            raise cappa.Exit(code=EXIT_FAULTS)
        if not self.json:
            print(f'{self.path}: no fault')


@dataclass
class Entry:
    """Ask a VM which addresses to send requests to."""

    address: Address
    application: Annotated[
        str, cappa.Arg(long=True, help='id of the calling application')
    ]
    model: Annotated[
        str,
        cappa.Arg(long=True, help='ADAPTER or ADAPTER@VERSION'),
    ] = ''
    service: Annotated[
        str, cappa.Arg(long=True, help='id of a plain service')
    ] = ''
    call: Annotated[
        str, cappa.Arg(long=True, help='id of a call of that service')
    ] = ''
    json: AsJson = False

    def __call__(self) -> None:
        """Print the addresses, and the permit if one was issued."""
        query = f'application={self.application}'
        if self.service:
            query = f'{query}&service={self.service}&call={self.call}'
        else:
            query = f'{query}&model={self.model}'
        entry = ask_json(
            self.address, UpstreamCall('GET', f'/v1/entry?{query}', [])
        )
        if self.json:
            print(json.dumps(entry))
            return
        for address in entry['addresses']:
            print(address)
        permit = entry.get('permit')
        if permit is not None:
            print(f'permit {permit}')


@dataclass
class Send:
    """Send one prompt and print the answer."""

    address: Address
    prompt: Annotated[str, cappa.Arg(help='text of the prompt')]
    model: Annotated[
        str,
        cappa.Arg(long=True, help='ADAPTER or ADAPTER@VERSION'),
    ]
    application: Annotated[
        str, cappa.Arg(long=True, help='id of the calling application')
    ]
    json: AsJson = False

    def __call__(self) -> None:
        """Print the generated text, or the whole response as JSON."""
        content = {
            'model': self.model,
            'messages': [{'role': 'user', 'content': self.prompt}],
        }
        headers = [('authorization', f'Bearer {self.application}')]
        call = UpstreamCall.from_json(
            'POST',
            '/v1/chat/completions',
            content,
            headers,
        )
        completion = ask_json(self.address, call)
        if self.json:
            print(json.dumps(completion))
            return
        print(completion['choices'][0]['message']['content'])
        print(f'({completion["model"]})', file=sys.stderr)


@dataclass
class State:
    """Print the state of a VM."""

    address: Address
    json: AsJson = False

    def __call__(self) -> None:
        """Print tables, or the whole state dump as JSON."""
        state = ask_json(self.address, UpstreamCall('GET', '/state', []))
        print(json.dumps(state) if self.json else state_table(state))


@dataclass
class Drain:
    """Drain a VM: finish the work in progress, then leave the fleet."""

    address: Address
    secret: Annotated[
        str,
        cappa.Arg(long=True, help='operators.secret of the VM'),
    ]

    def __call__(self) -> None:
        """Ask the VM to drain."""
        headers = [('x-operator-secret', self.secret)]
        ask_json(self.address, UpstreamCall('POST', '/v1/drain', headers))
        print(f'{self.address} is leaving')


@cappa.command(name='flamingovalve', description=_DESCRIPTION)
@dataclass
class Flamingovalve:
    """Inspect and operate flamingovalve."""

    command: cappa.Subcommands[Check | Entry | Send | State | Drain | Account]


def check_file(path: Path) -> list[Fault]:
    """Return every fault of a settings file or an exported inventory."""
    if path.suffix == '.ini':
        outcome = load_settings(path)
        return outcome.error if outcome.is_error() else []
    try:
        content = path.read_bytes()
    except OSError as failed:
        return [Fault(str(path), str(failed), 'use a readable file')]
    if b'"vms"' in content:
        vm_list = parse_vm_list(content)
        return vm_list.error if vm_list.is_error() else []
    return _check_inventory(path, content)


def _check_inventory(path: Path, content: bytes) -> list[Fault]:
    manifest = parse_manifest(content)
    if manifest.is_error():
        return manifest.error
    faults: list[Fault] = []
    builder = InventoryBuilder(manifest.ok.version)
    for reference in manifest.ok.pages:
        page_path = path.parent / Path(reference.key).name
        try:
            page_content = page_path.read_bytes()
        except OSError as failed:
            fault = Fault(str(page_path), str(failed), 'export the page')
            faults.append(fault)
            continue
        if hashlib.sha256(page_content).hexdigest() != reference.sha256:
            remedy = 'export the pages before the manifest'
            faults.append(
                Fault(str(page_path), 'does not match its digest', remedy)
            )
        page = parse_page(page_content, str(page_path))
        if page.is_error():
            faults.extend(page.error)
        else:
            builder.add(CompactPage(page.ok))
    built = builder.build()
    if built.is_error():
        faults.extend(built.error)
    return faults


def ask_json(address: str, call: UpstreamCall) -> dict[str, Any]:
    """Make one call and return its JSON response, or exit with an error."""
    try:
        response = curio.run(_exchange, address, call)
    except (OSError, ConnectionLost, ValueError) as failed:
        message = f'{address}: {failed or "cannot be reached"}'
        raise cappa.Exit(message, code=EXIT_UNREACHABLE) from failed
    content = json.loads(response.body)
    if response.status >= HTTPStatus.BAD_REQUEST:
        error = content.get('error', {})
        message = f'{error.get("type")}: {error.get("message")}'
        raise cappa.Exit(message, code=EXIT_REFUSED)
    return content


async def _exchange(address: str, call: UpstreamCall) -> Response:
    pool = ConnectionPool(Network(), RelaySettings())
    response = await pool.exchange(
        address, call, _RESPONSE_TIMEOUT_SECONDS, fresh=True
    )
    await pool.close()
    return response


def main() -> None:
    """Run the command line."""
    cappa.invoke(Flamingovalve, version=VERSION)


if __name__ == '__main__':
    main()
