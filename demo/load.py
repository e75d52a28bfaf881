"""Sends a Zipf load of completions to a fleet and measures the answers."""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, field
from itertools import accumulate
from typing import TYPE_CHECKING, Any

import curio

from demo.processes import APPLICATION, adapter_name
from flamingovalve.errors import ConnectionLost
from flamingovalve.generated.settings import RelaySettings
from flamingovalve.http.client import ConnectionPool, UpstreamCall
from flamingovalve.util import clock
from flamingovalve.util.network import Network

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.http.messages import Response

_SECONDS = 60
_SKEW = 1.1
_PATIENCE_SECONDS = 40
_FIRST_PAUSE_SECONDS = 0.2


@dataclass
class Figures:
    """What came of the load."""

    answered: int = 0
    wrong: int = 0
    failed: int = 0
    tries: int = 0
    seconds: list[float] = field(default_factory=list)

    def percentile(self, share: float) -> float:
        """Give the answer time that ``share`` of the requests kept."""
        ordered = sorted(self.seconds)
        return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


class Load:
    """Callers that ask for an address, keep it a while and send there."""

    def __init__(self, addresses: list[str], adapters: int, seed: int) -> None:
        """Ask any of ``addresses`` first."""
        self.figures = Figures()
        self._addresses = addresses
        self._chance = random.Random(seed)
        self._pool = ConnectionPool(Network(), RelaySettings())
        self._entries: dict[str, tuple[float, list[str]]] = {}
        self._names = [adapter_name(index) for index in range(adapters)]
        self._weights = list(
            accumulate(1 / (rank + 1) ** _SKEW for rank in range(adapters)),
        )

    async def run(
        self,
        requests: int,
        rate: float,
        at_half: Callable[[], None],
    ) -> None:
        """Send ``requests`` at ``rate`` a second.

        :param at_half: called when half of them are under way
        """
        tasks = []
        for index in range(requests):
            if index == requests // 2:
                at_half()
            tasks.append(await curio.spawn(self._one, index))
            await curio.sleep(self._chance.expovariate(rate))
        for task in tasks:
            await task.join()
        await self._pool.close()

    async def _one(self, index: int) -> None:
        name = self._chance.choices(
            self._names,
            cum_weights=self._weights,
        )[0]
        prompt = f'prompt {index}'
        started_at = clock.now()
        response = await self._persist(name, prompt)
        self.figures.seconds.append(clock.now() - started_at)
        if response is None:
            self.figures.failed += 1
        elif _is_right(response, name):
            self.figures.answered += 1
        else:
            self.figures.wrong += 1

    async def _persist(self, name: str, prompt: str) -> Response | None:
        """Come back as a refusal says, until patience runs out."""
        patience = clock.now() + _PATIENCE_SECONDS
        attempt = 0
        while clock.now() < patience:
            self.figures.tries += 1
            response = await self._try(name, prompt, attempt)
            if response is not None and response.status == 200:
                return response
            attempt += 1
            self._entries.pop(name, None)
            pause = _FIRST_PAUSE_SECONDS
            if response is not None:
                pause = float(response.header('retry-after') or pause)
            await curio.sleep(pause * self._chance.uniform(0.5, 1.5))
        return None

    async def _try(
        self,
        name: str,
        prompt: str,
        attempt: int,
    ) -> Response | None:
        try:
            addresses = await self._ask(name)
            address = addresses[attempt % len(addresses)]
            return await self._pool.exchange(
                address,
                completion(name, prompt),
                _SECONDS,
            )
        except (OSError, ConnectionLost):
            return None

    async def _ask(self, name: str) -> list[str]:
        known = self._entries.get(name)
        if known is not None and clock.now() < known[0]:
            return known[1]
        target = f'/v1/entry?model={name}&application={APPLICATION}'
        response = await self._pool.exchange(
            self._chance.choice(self._addresses),
            UpstreamCall('GET', target, []),
            _SECONDS,
        )
        answer: dict[str, Any] = json.loads(response.body)
        if response.status != 200:
            raise ConnectionLost(str(answer))
        addresses: list[str] = answer['addresses']
        kept_until = clock.now() + answer['ttl_seconds']
        self._entries[name] = (kept_until, addresses)
        return addresses


def completion(name: str, prompt: str) -> UpstreamCall:
    """Give the request for a completion."""
    content = {
        'model': name,
        'messages': [{'role': 'user', 'content': prompt}],
    }
    headers = [('authorization', f'Bearer {APPLICATION}')]
    return UpstreamCall.from_json(
        'POST',
        '/v1/chat/completions',
        content,
        headers,
    )


def _is_right(response: Response, name: str) -> bool:
    answer = json.loads(response.body)
    text: str = answer['choices'][0]['message']['content']
    return answer['model'] == f'{name}@2' and text.startswith(f'{name}@2/')
