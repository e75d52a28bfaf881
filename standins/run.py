"""Command to run a stand-in: ``python -m standins.run KIND ADDRESS``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import cappa
import curio

from flamingovalve.generated.settings import RelaySettings
from flamingovalve.http.client import ConnectionPool, UpstreamCall
from flamingovalve.util.network import Network
from standins.base import StandIn
from standins.configuration_service import ConfigurationServiceStandIn
from standins.engine import EngineStandIn
from standins.plain_service import PlainServiceStandIn
from standins.weight_store import WeightStoreStandIn

_LOAD_TIMEOUT_SECONDS = 60


@dataclass
class Arguments:
    """Arguments of a stand-in program."""

    kind: Annotated[
        str, cappa.Arg(help='configuration, store, engine, service')
    ]
    address: Annotated[str, cappa.Arg(help='IP:port to listen at')]
    name: Annotated[str, cappa.Arg(long=True, help='name of an engine')] = ''
    store: Annotated[str, cappa.Arg(long=True, help='weight store')] = ''
    slots: Annotated[int, cappa.Arg(long=True, help='adapter slots')] = 4
    batch: Annotated[int, cappa.Arg(long=True, help='seats')] = 8
    no_fencing: Annotated[
        bool,
        cappa.Arg(long='--no-fencing', help='ignore fencing numbers'),
    ] = False


class RemoteStore:
    """Client of a weight store that runs in another process."""

    def __init__(self, network: Network, address: str) -> None:
        """Create a client of the store at ``address``."""
        self._pool = ConnectionPool(network, RelaySettings())
        self._address = address

    async def load(self, adapter: str) -> None:
        """Load an adapter; returns when the store has sent it."""
        call = UpstreamCall('POST', f'/load/{adapter}', [])
        await self._pool.exchange(self._address, call, _LOAD_TIMEOUT_SECONDS)


def build(arguments: Arguments) -> StandIn:
    """Build the stand-in that the arguments describe.

    :raises cappa.Exit: if the kind is unknown
    """
    network = Network()
    if arguments.kind == 'configuration':
        return ConfigurationServiceStandIn(network, arguments.address)
    if arguments.kind == 'store':
        return WeightStoreStandIn(network, arguments.address)
    if arguments.kind == 'service':
        return PlainServiceStandIn(network, arguments.address)
    if arguments.kind == 'engine':
        return _build_engine(arguments, network)
    raise cappa.Exit(f'unknown kind of stand-in: {arguments.kind!r}', code=2)


def _build_engine(arguments: Arguments, network: Network) -> EngineStandIn:
    store = RemoteStore(network, arguments.store)
    engine = EngineStandIn(
        network,
        arguments.address,
        arguments.name,
        store.load,
    )
    engine.configure(
        arguments.slots,
        arguments.batch,
        fencing=not arguments.no_fencing,
    )
    return engine


def run(arguments: Arguments) -> None:
    """Run until the process is terminated."""
    curio.run(build(arguments).run)


if __name__ == '__main__':
    cappa.invoke(cappa.command(name='standin', invoke=run)(Arguments))
