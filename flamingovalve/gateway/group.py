"""The engines of one group and the choice of an engine for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingovalve.gateway import dispatch
from flamingovalve.gateway.cold_start import ColdStart
from flamingovalve.gateway.engine import (
    EngineContext,
    OwnedEngine,
    OwnerCounts,
)
from flamingovalve.gateway.learning import LoadTimes, MeanSeconds
from flamingovalve.gateway.ledger import EngineLedger
from flamingovalve.gateway.load_budget import LoadBudget, LoadSource, has_copy
from flamingovalve.gateway.orders import OrderChain
from flamingovalve.gateway.popularity import Popularity
from flamingovalve.gateway.prefill_model import PrefillModel
from flamingovalve.gateway.send_plan import SendPlan
from flamingovalve.gateway.stream_gaps import EngineStreams, StreamGaps
from flamingovalve.gateway.token_memory import OutputShare, TokenMemory
from flamingovalve.generated.ids import ModelId
from flamingovalve.util import clock, hashing

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    import curio

    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.engine import EngineLink, EngineListener
    from flamingovalve.gateway.fencing import ClaimStatus
    from flamingovalve.gateway.model import EngineTraits, Upstream
    from flamingovalve.generated.ids import AdapterId, UpstreamId, VmId
    from flamingovalve.generated.messages import PlaceAsk
    from flamingovalve.generated.settings import GatewaySettings
    from flamingovalve.util.tasks import TaskSet


class EngineGroup:
    """Monitors the engines of one owner and sends them orders.

    :ivar budget: prices fetches; None if each has a fixed cost
    :ivar cold_start: orders the loads after a loss of all VMs
    :ivar predecessor_ended: whether the previous owner of the group has
        provably stopped sending orders
    :ivar orders_after: earliest time of an order to a newly added engine,
        on the monotonic clock
    """

    def __init__(
        self,
        settings: GatewaySettings,
        vm: VmId,
        claim_status: Callable[[], ClaimStatus],
        catalogue: Catalogue,
        link_to: Callable[[Upstream], EngineLink],
        tasks: TaskSet,
        holds: MeanSeconds,
    ) -> None:
        """Create a group without engines.

        :param claim_status: returns what is known of the group's ownership
        :param link_to: creates the connection to an engine
        :param holds: mean seconds for which a request keeps its place
        """
        self.counts = OwnerCounts()
        self.popularity = Popularity()
        self.engines_by_id: dict[UpstreamId, OwnedEngine] = {}
        self.loads = LoadTimes(settings.adapter_load_seconds)
        self.outputs = OutputShare()
        self.prefill_model = PrefillModel.from_config(settings)
        self.gaps = StreamGaps.from_config(settings)
        self.budget: LoadBudget | None = None
        if settings.fetch_budget:
            self.budget = LoadBudget(self.popularity, self.loads, holds)
        self.cold_start = ColdStart(
            self.loads, is_enabled=settings.fetch_budget
        )
        self.predecessor_ended = False
        self.orders_after = 0.0
        self._is_initial = True
        self._settings = settings
        self._vm = vm
        self._claim_status = claim_status
        self._catalogue = catalogue
        self._link_to = link_to
        self._tasks = tasks
        self._followers: dict[UpstreamId, curio.Task] = {}
        self._requests_by_model: dict[ModelId, int] = {}

    async def replace(
        self,
        upstreams: Iterable[Upstream],
        traits: EngineTraits,
        listener: EngineListener,
    ) -> None:
        """Replace the engines of the group by ``upstreams``.

        :param listener: is notified of events of the engines
        """
        if self._is_initial and self.predecessor_ended:
            self.cold_start.begin(self.orders_after)
        wanted = {upstream.id: upstream for upstream in upstreams}
        for name in list(self.engines_by_id):
            if name not in wanted:
                await self._release(name)
        for name, upstream in wanted.items():
            known = self.engines_by_id.get(name)
            if known is None:
                await self._adopt(upstream, traits, listener)
            else:
                known.ledger.upstream = upstream
                known.ledger.traits = traits
        # Applies only to the previous owner of this group; an engine that is
        # added later may come from a group whose owner is alive.
        self.predecessor_ended = False
        self._is_initial = False

    def suspend_orders(self, seconds: float) -> None:
        """Send no orders to current or new engines for ``seconds``."""
        until = clock.now() + seconds
        self.orders_after = max(self.orders_after, until)
        for engine in self.engines_by_id.values():
            chain = engine.ledger.chain
            chain.paused_until = max(chain.paused_until, until)

    def record_request(self, ask: PlaceAsk) -> None:
        """Count a request towards the popularity of its model and adapter."""
        if ask.model in self._models():
            count = self._requests_by_model.get(ask.model, 0)
            self._requests_by_model[ask.model] = count + 1
        if ask.adapter:
            self.popularity.record(ask.adapter)

    def ledgers(self) -> list[EngineLedger]:
        """Return the ledger of each engine."""
        return [engine.ledger for engine in self.engines_by_id.values()]

    def usable(self) -> list[EngineLedger]:
        """Return the engines that accept requests."""
        return [
            ledger
            for ledger in self.ledgers()
            if ledger.is_usable()
            and self._catalogue.takes_requests(ledger.upstream)
        ]

    def candidates(self, ask: PlaceAsk) -> list[EngineLedger]:
        """Return the engines that may serve ``ask``."""
        return [
            ledger
            for ledger in self.usable()
            if ledger.upstream.id not in ask.avoided
            and _has_software(ledger, ask)
        ]

    def choose(self, ask: PlaceAsk) -> dispatch.Choice | None:
        """Choose an engine with a free place for ``ask``, if there is one."""
        choice = dispatch.choose(
            ask,
            self.candidates(ask),
            self.popularity,
            self.version(ask),
            self.budget,
        )
        if choice is None or not choice.is_fetch(ask):
            return choice
        return choice if self.cold_start.may_fetch(self.ledgers()) else None

    def memory_exceeded_by(self, ask: PlaceAsk) -> int:
        """Return the memory of the engines if no idle one can hold ``ask``.

        :returns: tokens; 0 if an engine can hold it, or if none is known
        """
        ledgers = self.ledgers()
        for ledger in ledgers:
            if not ledger.tokens.is_too_large(ask, ledger.traits.kv_tokens):
                return 0
        return max((ledger.traits.kv_tokens for ledger in ledgers), default=0)

    def count_load(
        self, adapter: AdapterId, engine: EngineLedger
    ) -> LoadSource:
        """Count a load that an engine is about to be ordered, by its source."""
        if self.budget is not None:
            self.budget.record_load()
        if adapter in engine.kept:
            self.counts.kept_loads += 1
            return LoadSource.MEMORY
        if any(has_copy(one, adapter) for one in self.ledgers()):
            self.counts.further_fetches += 1
            return LoadSource.COPY
        self.counts.first_fetches += 1
        return LoadSource.STORE

    def has_openings(self) -> bool:
        """Return whether an adapter can be loaded now for a queued request."""
        return dispatch.any_can_load_adapter(self.usable(), self.popularity)

    def version(self, ask: PlaceAsk) -> int:
        """Return the required adapter version of ``ask``; 0 for any."""
        return self._catalogue.wanted_version(ask.model, ask.adapter)

    async def _adopt(
        self,
        upstream: Upstream,
        traits: EngineTraits,
        listener: EngineListener,
    ) -> None:
        settings = self._settings
        chain = OrderChain(
            settings.lease_seconds,
            settings.report_lag_seconds,
            self.orders_after,
            predecessor_ended=self.predecessor_ended,
            is_established=self._is_established,
            sees_all=self._sees_all,
            unsure_seconds=self._unsure_seconds(upstream.id),
        )
        link = self._link_to(upstream)
        ledger = EngineLedger(
            upstream,
            traits,
            settings,
            chain,
            loads=self.loads,
            sends=SendPlan(link.status),
            tokens=TokenMemory(self.outputs),
            prefill_model=self.prefill_model,
            streams=EngineStreams(self.gaps),
            sender=self._vm,
        )
        context = EngineContext(
            self._vm,
            self._claim_status,
            self.counts,
            self.popularity,
            self._model_to_load,
            listener,
        )
        engine = OwnedEngine(context, ledger, link)
        self.engines_by_id[upstream.id] = engine
        task = await self._tasks.spawn(engine.follow)
        self._followers[upstream.id] = task

    def _is_established(self) -> bool:
        return self._claim_status().is_established

    def _sees_all(self) -> bool:
        status = self._claim_status()
        return status.is_established and status.sees_all

    def _unsure_seconds(self, engine: UpstreamId) -> float:
        """Return how long an owner that may not be the only one waits more.

        One lease, and up to another one, so that several such owners do not
        begin at the same time.
        """
        share = hashing.uniform(engine, self._vm)
        return (1 + share) * self._settings.lease_seconds

    async def _release(self, name: UpstreamId) -> None:
        engine = self.engines_by_id.pop(name)
        await self._followers.pop(name).cancel()
        await engine.release()
        if self.budget is not None:
            self.budget.forget_engine(name)

    def _model_to_load(self, engine: EngineLedger) -> ModelId:
        """Return the model that an empty engine should load, or '' for none."""
        ledgers = self.ledgers()
        model = dispatch.model_in_demand(ledgers, self._requests_by_model)
        if model in engine.at_hand or not dispatch.is_fetching(ledgers):
            return model
        return ModelId('')

    def _models(self) -> set[ModelId]:
        return {
            name for ledger in self.ledgers() for name in ledger.traits.models
        }


def _has_software(engine: EngineLedger, ask: PlaceAsk) -> bool:
    """Return whether an engine has the software version that ``ask`` needs.

    The entry of an engine that has restarted may name an older version.
    """
    if not ask.pins_software:
        return True
    upstream = engine.upstream
    return upstream.software == ask.software and upstream.is_process(
        engine.born
    )
