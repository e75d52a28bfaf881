"""Builders of engines, requests and reports for gateway tests."""

from __future__ import annotations

from flamingovalve.gateway.ledger import EngineLedger
from flamingovalve.gateway.model import (
    EngineTraits,
    ModelTraits,
    Upstream,
    UpstreamState,
)
from flamingovalve.gateway.orders import EngineReport, OrderChain
from flamingovalve.gateway.residency.held import AdapterState, HeldAdapter
from flamingovalve.generated.ids import (
    AdapterId,
    DomainId,
    GroupId,
    ModelId,
    RequestId,
    ServiceId,
    UpstreamId,
)
from flamingovalve.generated.messages import PlaceAsk, PromptPart
from flamingovalve.generated.settings import GatewaySettings

MODEL = ModelId('base')
TRAITS = EngineTraits(
    batch=64,
    adapter_slots=8,
    weight_mb=67100,
    models={MODEL: ModelTraits(MODEL, 65500, 40, 3000)},
)


def upstream(name: str, domain: str = 'east') -> Upstream:
    """Return an engine that accepts requests."""
    return Upstream(
        UpstreamId(name),
        ServiceId('engines'),
        f'{name}:1',
        DomainId(domain),
        UpstreamState.READY,
        64,
    )


def ledger(name: str = 'engine-0', *resident: str) -> EngineLedger:
    """Return an engine with the base model and ``resident`` adapters."""
    settings = GatewaySettings()
    chain = OrderChain(settings.lease_seconds, settings.report_lag_seconds, 0)
    chain.sequence = 0
    made = EngineLedger(upstream(name), TRAITS, settings, chain, born=1)
    made.models.add(MODEL)
    for adapter in resident:
        hold(made, adapter)
    return made


def hold(
    engine: EngineLedger,
    name: str,
    state: AdapterState = AdapterState.RESIDENT,
    uses: int = 0,
) -> HeldAdapter:
    """Add an adapter to an engine."""
    held = HeldAdapter(AdapterId(name), 1, state, uses)
    engine.held[held.name] = held
    return held


def ask(adapter: str = '', number: int = 0, **changes: object) -> PlaceAsk:
    """Return a request for a place."""
    made = PlaceAsk(
        RequestId(f'request-{number}'),
        GroupId('engines'),
        MODEL,
        AdapterId(adapter),
        prompt_tokens=1000,
        output_tokens=100,
        parts=[PromptPart('shared', 800), PromptPart('own', 200)],
        priority=1,
        target=1.0,
        remaining=5.0,
        domain=DomainId('east'),
        patience=4.0,
    )
    for name, content in changes.items():
        setattr(made, name, content)
    return made


def report(sequence: int, *resident: str, born: int = 1) -> EngineReport:
    """Return a report of an engine."""
    adapters = {AdapterId(name): 1 for name in resident}
    return EngineReport(sequence, born, [MODEL], adapters, [])
