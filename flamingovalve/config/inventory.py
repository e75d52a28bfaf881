"""The validated inventory and the parsers of its parts."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from expression import Error, Ok, Result

from flamingovalve.config.adapters import (
    AdapterCatalog,
    AdapterTableBuilder,
)
from flamingovalve.config.checker import read_struct
from flamingovalve.errors import ErrorKind, Fault, ServingError
from flamingovalve.generated.ids import (
    ApplicationId,
    EngineId,
    ModelId,
    ServiceId,
)
from flamingovalve.generated.settings import (
    Adapter,
    Application,
    Engine,
    Manifest,
    Page,
    Service,
    ServiceCall,
    VmList,
)
from flamingovalve.util.listeners import split_address

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingovalve.config.adapters import AdapterRecord

MANIFEST_KEY = 'inventory/manifest'
VM_LIST_KEY = 'fleet/vms'


@dataclass(frozen=True, slots=True)
class Target:
    """The adapter and version that a request runs on."""

    adapter: str
    version: str
    model: ModelId

    @property
    def name(self) -> str:
        """Name under which engines load the adapter."""
        return f'{self.adapter}@{self.version}'


@dataclass
class Inventory:
    """One version of everything that operators publish, by id."""

    version: int = 0
    applications_by_id: dict[ApplicationId, Application] = field(
        default_factory=dict,
    )
    engines_by_id: dict[EngineId, Engine] = field(default_factory=dict)
    services_by_id: dict[ServiceId, Service] = field(default_factory=dict)
    adapters: AdapterCatalog = field(
        default_factory=lambda: AdapterCatalog([]),
    )
    engine_ids_by_model: dict[ModelId, list[EngineId]] = field(
        default_factory=dict,
    )

    @classmethod
    def from_pages(
        cls,
        version: int,
        pages: Iterable[Page],
    ) -> Result[Inventory, list[Fault]]:
        """Build a version from its pages, or return every fault found."""
        builder = InventoryBuilder(version)
        for page in pages:
            builder.add(CompactPage(page))
        return builder.build()

    def authenticate(
        self, credential: str
    ) -> Result[Application, ServingError]:
        """Return the application that ``credential`` authenticates.

        :param credential: ``APPLICATION`` or ``APPLICATION:SECRET``
        """
        name, _separator, secret = credential.partition(':')
        application = self.applications_by_id.get(ApplicationId(name))
        if application is None:
            return Error(_unknown_application(name))
        expected_sha256 = application.secret_sha256
        if (
            expected_sha256
            and hashlib.sha256(secret.encode()).hexdigest() != expected_sha256
        ):
            return Error(_unknown_application(name))
        return Ok(application)

    def resolve(
        self,
        model: str,
        application: Application,
    ) -> Result[Target, ServingError]:
        """Return the adapter version that ``application`` requests.

        :param model: ``ADAPTER@VERSION`` or ``ADAPTER``
        """
        name, _separator, version = model.partition('@')
        record = self.adapters.find(name)
        if record is None:
            return Error(_unknown_adapter(name))
        if application.id not in record.applications:
            return Error(_not_allowed(application.id, f'adapter {name!r}'))
        chosen = version or record.current
        if chosen not in record.versions:
            return Error(_unknown_version(record, chosen))
        return Ok(Target(record.id, chosen, record.model))

    def find_call(
        self,
        service_id: str,
        call_id: str,
        application: Application,
    ) -> Result[tuple[Service, ServiceCall], ServingError]:
        """Return a call of a plain service if ``application`` may make it."""
        service = self.services_by_id.get(ServiceId(service_id))
        if service is None:
            return Error(_unknown_service(service_id))
        if application.id not in service.applications:
            resource = f'service {service_id!r}'
            return Error(_not_allowed(application.id, resource))
        for call in service.calls:
            if call.id == call_id:
                return Ok((service, call))
        return Error(_unknown_service(f'{service_id}/{call_id}'))


class CompactPage:
    """One page in compact form, with the checks that need no other page.

    :ivar samples: one adapter for each combination of model, versions,
        current version and applications; adapters with the same combination
        have the same faults, so only the samples are checked
    """

    def __init__(self, page: Page) -> None:
        """Compact ``page`` and check the names of its adapters."""
        self.applications = page.applications
        self.engines = page.engines
        self.services = page.services
        self.samples: list[Adapter] = []
        self.faults: list[Fault] = []
        builder = AdapterTableBuilder()
        for adapter in page.adapters:
            self._check_name(adapter, builder)
            if builder.add(adapter):
                self.samples.append(adapter)
        self.adapters = builder.build()

    def _check_name(
        self,
        adapter: Adapter,
        builder: AdapterTableBuilder,
    ) -> None:
        place = f'adapter {adapter.id!r}'
        if adapter.id in builder:
            self.faults.append(_duplicate(place))
        if not adapter.id or '@' in adapter.id:
            remedy = "use a non-empty name without '@'"
            self.faults.append(Fault(place, 'is not a valid name', remedy))


class InventoryBuilder:
    """Builds an inventory from pages and checks references between them."""

    def __init__(self, version: int) -> None:
        """Create a builder of inventory version ``version``."""
        self._faults: list[Fault] = []
        self._pages: list[CompactPage] = []
        self._inventory = Inventory(version)

    def add(self, page: CompactPage) -> None:
        """Add the content of one page."""
        inventory = self._inventory
        self._index(page.applications, inventory.applications_by_id)
        self._index(page.engines, inventory.engines_by_id)
        self._index(page.services, inventory.services_by_id)
        self._faults.extend(page.faults)
        self._pages.append(page)

    def build(self) -> Result[Inventory, list[Fault]]:
        """Return the inventory, or every fault found in its pages."""
        catalog = AdapterCatalog([page.adapters for page in self._pages])
        self._faults.extend(
            _duplicate(f'adapter {name!r}') for name in catalog.duplicate_ids()
        )
        for engine in self._inventory.engines_by_id.values():
            self._check_address(f'engine {engine.id!r}', engine.address)
            by_model = self._inventory.engine_ids_by_model
            by_model.setdefault(engine.model, []).append(engine.id)
        for service in self._inventory.services_by_id.values():
            self._check_service(service)
        for page in self._pages:
            for adapter in page.samples:
                self._check_adapter(adapter)
        if self._faults:
            return Error(self._faults)
        self._inventory.adapters = catalog
        return Ok(self._inventory)

    def _index(self, entries: Iterable[Any], by_id: dict[Any, Any]) -> None:
        for entry in entries:
            if entry.id in by_id:
                place = f'{type(entry).__name__.lower()} {entry.id!r}'
                self._faults.append(_duplicate(place))
            by_id[entry.id] = entry

    def _check_service(self, service: Service) -> None:
        place = f'service {service.id!r}'
        for address in service.addresses:
            self._check_address(place, address)
        if not service.addresses:
            self._add_fault(
                place, 'has no address', 'list the addresses of its replicas'
            )
        self._check_applications(place, service.applications)

    def _check_adapter(self, adapter: Adapter) -> None:
        place = f'adapter {adapter.id!r}'
        if adapter.current not in adapter.versions:
            self._add_fault(
                place,
                f'current version {adapter.current!r} is not among versions',
                'add it to versions or make another one current',
            )
        if adapter.model not in self._inventory.engine_ids_by_model:
            self._add_fault(
                place,
                f'no engine runs its model {adapter.model!r}',
                'add an engine or correct the model name',
            )
        self._check_applications(place, adapter.applications)

    def _check_applications(self, place: str, names: list[str]) -> None:
        for name in names:
            if name not in self._inventory.applications_by_id:
                self._add_fault(
                    place,
                    f'refers to the unknown application {name!r}',
                    'add the application or remove the reference',
                )

    def _check_address(self, place: str, address: str) -> None:
        try:
            split_address(address)
        except ValueError as bad:
            self._add_fault(place, str(bad), 'use IP:port')

    def _add_fault(self, place: str, problem: str, remedy: str) -> None:
        self._faults.append(Fault(place, problem, remedy))


def parse_manifest(content: bytes) -> Result[Manifest, list[Fault]]:
    """Parse the manifest."""
    return _parse(Manifest, content, MANIFEST_KEY)


def parse_page(content: bytes, key: str) -> Result[Page, list[Fault]]:
    """Parse the page published at ``key``."""
    return _parse(Page, content, key)


def parse_vm_list(content: bytes) -> Result[VmList, list[Fault]]:
    """Parse the published list of VMs."""
    return _parse(VmList, content, VM_LIST_KEY)


def _parse(
    kind: type[Any],
    content: bytes,
    place: str,
) -> Result[Any, list[Fault]]:
    try:
        raw = json.loads(content)
    except (ValueError, RecursionError) as bad:
        return Error([Fault(place, f'is not JSON ({bad})', 'export it again')])
    outcome = read_struct(kind, raw, place)
    if outcome.is_ok() and kind is not Page and not _version_number(outcome.ok):
        return Error(
            [
                Fault(
                    place,
                    'has no version or revision number',
                    'number it from 1',
                )
            ]
        )
    return outcome


def _version_number(parsed: Manifest | VmList) -> int:
    if isinstance(parsed, Manifest):
        return parsed.version
    return parsed.revision


def _duplicate(place: str) -> Fault:
    return Fault(place, 'is defined more than once', 'keep one definition')


def _unknown_application(name: str) -> ServingError:
    return ServingError(
        ErrorKind.UNKNOWN_APPLICATION,
        f'application {name!r} is unknown or its secret is wrong; send '
        "'Authorization: Bearer APPLICATION:SECRET' as in the inventory",
    )


def _not_allowed(application: str, resource: str) -> ServingError:
    return ServingError(
        ErrorKind.APPLICATION_NOT_ALLOWED,
        f'application {application!r} may not use {resource}; add it to the '
        'applications of that entry in the inventory',
    )


def _unknown_adapter(name: str) -> ServingError:
    return ServingError(
        ErrorKind.UNKNOWN_ADAPTER,
        f'adapter {name!r} is not in the inventory; check the name or '
        'export the inventory with it',
    )


def _unknown_version(record: AdapterRecord, version: str) -> ServingError:
    names = ', '.join(record.versions)
    return ServingError(
        ErrorKind.UNKNOWN_VERSION,
        f'adapter {record.id!r} has no version {version!r}; use one of {names}',
    )


def _unknown_service(name: str) -> ServingError:
    return ServingError(
        ErrorKind.UNKNOWN_SERVICE,
        f'service call {name!r} is not in the inventory; check the name',
    )
