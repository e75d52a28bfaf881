"""How the engines of a service are divided, and whom a request asks."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import curio

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.gateway import dispatch, shards
from flamingovalve.gateway.catalogue import Catalogue
from flamingovalve.gateway.place_finder import PlaceFinder
from flamingovalve.gateway.places import OwnerSilent
from flamingovalve.gateway.popularity import Popularity
from flamingovalve.generated.ids import GroupId, ServiceId, VmId
from tests.rig.engines import ask, hold, ledger, upstream
from tests.rig.timeline import TimedTestCase

if TYPE_CHECKING:
    from flamingovalve.gateway.ledger import EngineLedger

SERVICE = ServiceId('engines')


def catalogue_of(count: int) -> Catalogue:
    """Give a list of ``count`` engines."""
    made = Catalogue(lambda document: document)
    for number in range(count):
        made._take_upstream(upstream(f'engine-{number}'))
    return made


class TestDivision(TimedTestCase):
    """How many groups there are, and who is in which."""

    def test_small_services_have_one_owner(self):
        self.assertEqual({shards.group_count(n) for n in range(13)}, {1})

    def test_loss_of_a_domain_changes_nothing(self):
        """A quarter of 70 engines is lost, or a third as many are added.

        A new division would move engines between owners, and each that
        moves gets no order for a lease.
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

    def test_short_dip_of_the_list_changes_nothing(self):
        """The store drops most entries for a second and has them back.

        VMs hear of it at different moments; those that had divided anew
        would own engines that others still order.
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
            catalogue._take_upstream(upstream(f'engine-{number}'))
        self.assertEqual(divided.count(SERVICE), 8)
        self.advance(5)
        self.assertEqual(divided.count(SERVICE), 8)

    def test_lasting_change_divides_anew(self):
        catalogue = catalogue_of(70)
        divided = shards.Shards(catalogue)
        divided.count(SERVICE)
        for number in range(30, 70):
            catalogue._delete(f'servers/engine-{number}', lapsed=False)
        divided.count(SERVICE)
        self.advance(4)
        self.assertEqual(divided.count(SERVICE), 4)

    def test_adapter_has_one_first_group_everywhere(self):
        orders = {
            tuple(shards.Shards(catalogue_of(70)).preference(SERVICE, ask('a')))
            for _vm in range(3)
        }
        self.assertEqual(len(orders), 1)

    def test_adapters_spread_over_the_groups(self):
        divided = shards.Shards(catalogue_of(70))
        firsts = Counter(
            divided.preference(SERVICE, ask(f'a{number}'))[0]
            for number in range(800)
        )
        self.assertEqual(len(firsts), 8)
        self.assertLess(max(firsts.values()), 150)


class FakeClaims:
    """Says that each group has an owner named after it."""

    def __init__(self, without: tuple[GroupId, ...] = ()) -> None:
        """Name no owner of the groups ``without``."""
        self.without = without

    def owner(self, group: GroupId) -> VmId | None:
        """Give the owner."""
        return None if group in self.without else VmId(f'owner of {group}')


class FakePlaces:
    """Owners that answer as a test says."""

    def __init__(self) -> None:
        """Let every owner grant."""
        self.asked: list[tuple[GroupId, bool]] = []
        self.waits: dict[GroupId, float] = {}
        self.silent: set[VmId] = set()

    async def take(self, owner, request):
        """Grant, decline or keep silent."""
        self.asked.append((request.group, request.may_decline))
        if owner in self.silent:
            raise OwnerSilent('no answer')
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

    def until_late(self) -> float:
        """Give the time left until it is late."""
        return 1.0

    def remaining(self) -> float:
        """Give the time left."""
        return 5.0

    until_first_event = remaining


class NoPlaces:
    """Engines that hold nothing."""

    async def take(self, _request, _ask):
        """Give no place."""


class TestSeeking(TimedTestCase):
    """One request before eight groups."""

    def setUp(self) -> None:
        """Start with owners that all grant."""
        super().setUp()
        self.shards = shards.Shards(catalogue_of(70))
        self.order = self.shards.preference(SERVICE, ask('a'))
        self.places = FakePlaces()
        self.probed: list[VmId] = []

    def seek(self, claims=None):
        """Give the group where the request got its place."""
        finder = self.finder(claims or FakeClaims())
        return curio.run(finder.take, FakeRequest(), ask('a'))

    def finder(self, claims):
        """Give a VM's way to its places; silent owners are noted."""
        return PlaceFinder(
            claims, self.places, self.shards, self._probe, NoPlaces()
        )

    async def _probe(self, vm):
        """Note which VM is to be probed."""
        self.probed.append(vm)

    def test_first_group_is_asked_first(self):
        self.assertEqual(self.seek(), self.order[0])
        self.assertEqual(self.places.asked, [(self.order[0], True)])

    def test_next_group_is_asked_where_the_first_declines(self):
        self.places.waits = {self.order[0]: 2.0}
        self.assertEqual(self.seek(), self.order[1])

    def test_shortest_wait_is_taken_where_all_decline(self):
        self.places.waits = dict.fromkeys(self.order, 2.0)
        self.places.waits[self.order[2]] = 1.0
        self.assertEqual(self.seek(), self.order[2])
        self.assertEqual(self.places.asked[-1], (self.order[2], False))

    def test_group_without_an_owner_costs_nothing(self):
        """The owner of an adapter's first group has just ended.

        Its requests waited for the next owner, and most of them came late.
        """
        self.assertEqual(self.seek(FakeClaims((self.order[0],))), self.order[1])
        self.assertEqual(len(self.places.asked), 1)

    def test_silent_owner_is_asked_last_for_a_while(self):
        """An owner's VM went dark.

        Each request waited half a second for it before it went on, until
        membership had found out.
        """
        self.places.silent = {VmId(f'owner of {self.order[0]}')}
        finder = self.finder(FakeClaims())
        curio.run(finder.take, FakeRequest(), ask('a'))
        self.places.asked.clear()
        curio.run(finder.take, FakeRequest(), ask('a'))
        self.assertEqual(self.places.asked, [(self.order[1], True)])
        self.assertEqual(self.probed, [f'owner of {self.order[0]}'])

    def test_refusal_of_the_last_one_asked_is_final(self):
        self.places.take = self._refuse
        with self.assertRaises(ServingError):
            self.seek()

    async def _refuse(self, _owner, _request):
        raise ServingError(ErrorKind.OVERLOADED, 'full', retry_after=1)


class TestPopularAdapter(TimedTestCase):
    """One adapter that is asked for more often than a group can serve."""

    ENGINES = 9
    A_SECOND = 60
    SECONDS = 6

    def play(self, groups: int) -> int:
        """Give how many of the requests should be in time."""
        engines = [
            [ledger(f'engine-{g}-{n}') for n in range(self.ENGINES)]
            for g in range(groups)
        ]
        in_time = 0
        for number in range(self.A_SECOND * self.SECONDS):
            request = ask(
                'popular', number, prompt_tokens=9000, parts=[], target=1.0
            )
            choice = self.first_good(request, engines)
            if choice is not None:
                in_time += choice.wait <= request.target
                self.place(request, choice)
            self.advance(1 / self.A_SECOND)
        return in_time

    def first_good(self, request, engines: list[list[EngineLedger]]):
        """Ask the groups in turn, as requests do; none may have a place."""
        popularity = Popularity()
        choices = []
        for group in engines:
            choice = dispatch.choose(request, group, popularity, 0)
            if choice is not None and dispatch.is_good(request, choice):
                return choice
            choices += [choice] if choice else []
        return min(choices, key=lambda choice: choice.wait, default=None)

    def place(self, request, choice) -> None:
        """Let the chosen engine take the request, and end older ones."""
        engine = choice.engine
        if choice.load:
            hold(engine, request.adapter)
        engine.take(request)
        oldest = list(engine.places.values())[: -engine.traits.batch // 2]
        for place in oldest:
            engine.give_back(place)

    def test_it_spreads_over_the_groups(self):
        """A fifth of all requests ask for one adapter.

        Its first group alone reads some 30 of its prompts a second; with
        the rest turned to the next groups nearly all are in time.
        """
        total = self.A_SECOND * self.SECONDS
        self.assertLess(self.play(1), 0.75 * total)
        self.assertGreater(self.play(4), 0.95 * total)
