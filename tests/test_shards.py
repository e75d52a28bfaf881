"""Tests of the division of engines into groups and the search for places."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import curio

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.gateway import dispatch, shards
from flamingovalve.gateway.catalogue import Catalogue
from flamingovalve.gateway.place_finder import PlaceFinder
from flamingovalve.gateway.places import OwnerUnavailable
from flamingovalve.gateway.popularity import Popularity
from flamingovalve.gateway.upstream_status import UpstreamStatuses
from flamingovalve.generated.ids import GroupId, ServiceId, VmId
from tests.rig.engines import ask, hold, ledger, upstream
from tests.rig.timeline import TimedTestCase

if TYPE_CHECKING:
    from flamingovalve.gateway.ledger import EngineLedger

SERVICE = ServiceId('engines')


def catalogue_of(count: int) -> Catalogue:
    """Return a catalogue with ``count`` engines."""
    made = Catalogue(lambda document: document)
    for number in range(count):
        made._apply_upstream(upstream(f'engine-{number}'))
    return made


class TestDivision(TimedTestCase):
    """Number of groups and assignment of engines to them."""

    def test_small_services_have_one_group(self):
        self.assertEqual({shards.group_count(n) for n in range(13)}, {1})

    def test_loss_of_a_failure_domain_keeps_the_division(self):
        """Guards against a new division after a moderate change.

        A quarter of 70 engines is lost, or a third as many are added. A new
        division would move engines to other owners, and an engine that moves
        gets no orders for one lease.
        """
        counts = {shards.group_count(n) for n in range(52, 100)}
        self.assertEqual(counts, {8})

    def test_doubling_splits_each_group_in_two(self):
        for number in range(70):
            engine = upstream(f'engine-{number}')
            index, finer = (
                int((shards.group_of(engine, count).partition('/')[2]) or 0)
                for count in (8, 16)
            )
            self.assertIn(finer, {index, index + 8})

    def test_every_engine_is_in_one_group(self):
        divided = shards.Shards(catalogue_of(70)).engines(SERVICE)
        names = [one.id for group in divided.values() for one in group]
        self.assertEqual(len(divided), 8)
        self.assertEqual(len(set(names)), 70)
        self.assertEqual(len(names), 70)

    def test_short_loss_of_entries_keeps_the_division(self):
        """Guards against a new division during a short loss of entries.

        The store lost most entries for a second. VMs see such changes at
        different times; those with a new division would own engines to which
        others still send orders.
        """
        catalogue = catalogue_of(70)
        divided = shards.Shards(catalogue)
        self.assertEqual(divided.count(SERVICE), 8)
        for number in range(30, 70):
            catalogue._delete(f'servers/engine-{number}', lapsed=False)
        self.assertEqual(divided.count(SERVICE), 8)
        self.advance(1)
        self.assertEqual(divided.count(SERVICE), 8)
        for number in range(30, 70):
            catalogue._apply_upstream(upstream(f'engine-{number}'))
        self.assertEqual(divided.count(SERVICE), 8)
        self.advance(5)
        self.assertEqual(divided.count(SERVICE), 8)

    def test_lasting_change_updates_the_division(self):
        catalogue = catalogue_of(70)
        divided = shards.Shards(catalogue)
        divided.count(SERVICE)
        for number in range(30, 70):
            catalogue._delete(f'servers/engine-{number}', lapsed=False)
        divided.count(SERVICE)
        self.advance(4)
        self.assertEqual(divided.count(SERVICE), 4)

    def test_preference_is_the_same_on_all_vms(self):
        orders = {
            tuple(shards.Shards(catalogue_of(70)).preference(SERVICE, ask('a')))
            for _vm in range(3)
        }
        self.assertEqual(len(orders), 1)

    def test_adapters_spread_over_the_groups(self):
        divided = shards.Shards(catalogue_of(70))
        count_by_group = Counter(
            divided.preference(SERVICE, ask(f'a{number}'))[0]
            for number in range(800)
        )
        self.assertEqual(len(count_by_group), 8)
        self.assertLess(max(count_by_group.values()), 150)


class FakeClaims:
    """Claims in which each group has an owner named after it."""

    def __init__(self, without: tuple[GroupId, ...] = ()) -> None:
        """Leave the groups ``without`` without an owner."""
        self.without = without

    def owner(self, group: GroupId) -> VmId | None:
        """Return the owner of a group."""
        return None if group in self.without else VmId(f'owner of {group}')


class FakePlaces:
    """Owners with configurable answers."""

    def __init__(self) -> None:
        """Start with owners that all grant."""
        self.asked: list[tuple[GroupId, bool]] = []
        self.waits: dict[GroupId, float] = {}
        self.silent: set[VmId] = set()

    async def take(self, owner, request):
        """Grant, decline or fail to answer."""
        self.asked.append((request.group, request.may_decline))
        if owner in self.silent:
            raise OwnerUnavailable('no answer')
        if request.may_decline and request.group in self.waits:
            raise ServingError(
                ErrorKind.NO_GOOD_PLACE,
                'ask another',
                retry_after=self.waits[request.group],
            )
        return request.group


class FakeRequest:
    """A request with time left."""

    id = 'request-1'
    service = SERVICE
    tried: tuple[str, ...] = ()

    def send_patience(self) -> float:
        """Return half a second."""
        return 0.5

    def until_target_latency(self) -> float:
        """Return the seconds until it is late."""
        return 1.0

    def remaining(self) -> float:
        """Return the remaining seconds."""
        return 5.0

    first_event_timeout = remaining


class NoPlaces:
    """A fallback without places."""

    async def take(self, _request, _ask):
        """Return no place."""


class TestPlaceFinder(TimedTestCase):
    """Search for a place among eight groups."""

    def setUp(self) -> None:
        """Start with owners that all grant."""
        super().setUp()
        self.shards = shards.Shards(catalogue_of(70))
        self.order = self.shards.preference(SERVICE, ask('a'))
        self.places = FakePlaces()
        self.probed: list[VmId] = []

    def find_group(self, claims=None):
        """Return the group where the request got its place."""
        finder = self.finder(claims or FakeClaims())
        return curio.run(finder.take, FakeRequest(), ask('a'))

    def finder(self, claims):
        """Return a place finder that records its probes."""
        return PlaceFinder(
            claims,
            self.places,
            self.shards,
            self._probe,
            NoPlaces(),
            UpstreamStatuses(),
        )

    async def _probe(self, vm):
        """Record the VM to probe."""
        self.probed.append(vm)

    def test_first_group_is_asked_first(self):
        self.assertEqual(self.find_group(), self.order[0])
        self.assertEqual(self.places.asked, [(self.order[0], True)])

    def test_next_group_is_asked_if_the_first_declines(self):
        self.places.waits = {self.order[0]: 2.0}
        self.assertEqual(self.find_group(), self.order[1])

    def test_shortest_wait_is_chosen_if_all_decline(self):
        self.places.waits = dict.fromkeys(self.order, 2.0)
        self.places.waits[self.order[2]] = 1.0
        self.assertEqual(self.find_group(), self.order[2])
        self.assertEqual(self.places.asked[-1], (self.order[2], False))

    def test_group_without_an_owner_is_skipped(self):
        """Guards against waiting for a group whose owner has ended.

        Requests of adapters that prefer this group waited for its next owner,
        and most were late.
        """
        self.assertEqual(
            self.find_group(FakeClaims((self.order[0],))), self.order[1]
        )
        self.assertEqual(len(self.places.asked), 1)

    def test_unresponsive_owner_is_asked_last(self):
        """Guards against asking an unreachable owner with each request.

        Until membership detected the failure of a VM, each request waited
        half a second for it before asking another.
        """
        self.places.silent = {VmId(f'owner of {self.order[0]}')}
        finder = self.finder(FakeClaims())
        curio.run(finder.take, FakeRequest(), ask('a'))
        self.places.asked.clear()
        curio.run(finder.take, FakeRequest(), ask('a'))
        self.assertEqual(self.places.asked, [(self.order[1], True)])
        self.assertEqual(self.probed, [f'owner of {self.order[0]}'])

    def test_refusal_other_than_decline_is_final(self):
        self.places.take = self._refuse
        with self.assertRaises(ServingError):
            self.find_group()

    async def _refuse(self, _owner, _request):
        raise ServingError(ErrorKind.OVERLOADED, 'full', retry_after=1)


class TestPopularAdapter(TimedTestCase):
    """An adapter with more requests than one group can serve."""

    ENGINES = 9
    REQUESTS_PER_SECOND = 60
    SECONDS = 6

    def count_in_time(self, groups: int) -> int:
        """Return the number of requests expected to be in time."""
        engines = [
            [ledger(f'engine-{g}-{n}') for n in range(self.ENGINES)]
            for g in range(groups)
        ]
        in_time = 0
        for number in range(self.REQUESTS_PER_SECOND * self.SECONDS):
            request = ask(
                'popular', number, prompt_tokens=9000, parts=[], target=1.0
            )
            choice = self.first_good(request, engines)
            if choice is not None:
                in_time += choice.wait <= request.target
                self.place(request, choice)
            self.advance(1 / self.REQUESTS_PER_SECOND)
        return in_time

    def first_good(self, request, engines: list[list[EngineLedger]]):
        """Return a choice by asking the groups in turn, as requests do."""
        popularity = Popularity()
        choices = []
        for group in engines:
            choice = dispatch.choose(request, group, popularity, 0)
            if choice is not None and dispatch.is_acceptable(request, choice):
                return choice
            choices += [choice] if choice else []
        return min(choices, key=lambda choice: choice.wait, default=None)

    def place(self, request, choice) -> None:
        """Place the request on the chosen engine and end older requests."""
        engine = choice.engine
        if choice.load:
            hold(engine, request.adapter)
        engine.take(request)
        oldest = list(engine.places.values())[: -engine.traits.batch // 2]
        for place in oldest:
            engine.give_back(place)

    def test_popular_adapter_spreads_over_groups(self):
        """Guards against confining a popular adapter to one group.

        A fifth of all requests use one adapter. Its preferred group processes
        about 30 of its prompts per second; if the other requests go to further
        groups, nearly all are in time.
        """
        total = self.REQUESTS_PER_SECOND * self.SECONDS
        self.assertLess(self.count_in_time(1), 0.75 * total)
        self.assertGreater(self.count_in_time(4), 0.95 * total)
