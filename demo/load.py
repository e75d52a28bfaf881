"""Sends completions with a Zipf distribution and measures the responses."""

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

_TIMEOUT_SECONDS = 60
_SKEW = 1.1
_MAX_RETRY_SECONDS = 40
_DEFAULT_PAUSE_SECONDS = 0.2


@dataclass
class Figures:
    """Results of a load.

    :ivar answered: requests with a correct response
    :ivar wrong: requests with a response for another adapter or version
    :ivar failed: requests that were given up
    :ivar tries: attempts, including retries
    :ivar seconds: response times, including those of failed requests
    """

    answered: int = 0
    wrong: int = 0
    failed: int = 0
    tries: int = 0
    seconds: list[float] = field(default_factory=list)

    def percentile(self, share: float) -> float:
        """Return the response time not exceeded by ``share`` of requests."""
        ordered = sorted(self.seconds)
        return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


class Load:
    """Callers that look up an address, cache it and send requests there."""

    def __init__(self, addresses: list[str], adapters: int, seed: int) -> None:
        """Create callers that look up addresses at any of ``addresses``."""
        self.figures = Figures()
        self._addresses = addresses
        self._rng = random.Random(seed)
        self._pool = ConnectionPool(Network(), RelaySettings())
        self._cached_addresses: dict[str, tuple[float, list[str]]] = {}
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
        """Send ``requests`` requests at ``rate`` per second.

        :param at_half: called when half of them have been started
        """
        tasks = []
        for index in range(requests):
            if index == requests // 2:
                at_half()
            tasks.append(await curio.spawn(self._send_one, index))
            await curio.sleep(self._rng.expovariate(rate))
        for task in tasks:
            await task.join()
        await self._pool.close()

    async def _send_one(self, index: int) -> None:
        name = self._rng.choices(
            self._names,
            cum_weights=self._weights,
        )[0]
        prompt = f'prompt {index}'
        started_at = clock.now()
        response = await self._send_with_retries(name, prompt)
        self.figures.seconds.append(clock.now() - started_at)
        if response is None:
            self.figures.failed += 1
        elif _is_correct(response, name):
            self.figures.answered += 1
        else:
            self.figures.wrong += 1

    async def _send_with_retries(
        self, name: str, prompt: str
    ) -> Response | None:
        """Retry as ``retry-after`` says, until the deadline.

        :returns: the response; None if the deadline passed
        """
        deadline = clock.now() + _MAX_RETRY_SECONDS
        attempt = 0
        while clock.now() < deadline:
            self.figures.tries += 1
            response = await self._send_once(name, prompt, attempt)
            if response is not None and response.status == 200:
                return response
            attempt += 1
            self._cached_addresses.pop(name, None)
            pause = _DEFAULT_PAUSE_SECONDS
            if response is not None:
                pause = float(response.header('retry-after') or pause)
            await curio.sleep(pause * self._rng.uniform(0.5, 1.5))
        return None

    async def _send_once(
        self,
        name: str,
        prompt: str,
        attempt: int,
    ) -> Response | None:
        try:
            addresses = await self._look_up(name)
            address = addresses[attempt % len(addresses)]
            return await self._pool.exchange(
                address,
                completion(name, prompt),
                _TIMEOUT_SECONDS,
            )
        except (OSError, ConnectionLost):
            return None

    async def _look_up(self, name: str) -> list[str]:
        cached = self._cached_addresses.get(name)
        if cached is not None and clock.now() < cached[0]:
            return cached[1]
        target = f'/v1/entry?model={name}&application={APPLICATION}'
        response = await self._pool.exchange(
            self._rng.choice(self._addresses),
            UpstreamCall('GET', target, []),
            _TIMEOUT_SECONDS,
        )
        entry: dict[str, Any] = json.loads(response.body)
        if response.status != 200:
            raise ConnectionLost(str(entry))
        addresses: list[str] = entry['addresses']
        expires_at = clock.now() + entry['ttl_seconds']
        self._cached_addresses[name] = (expires_at, addresses)
        return addresses


def completion(name: str, prompt: str) -> UpstreamCall:
    """Return the call for a completion."""
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


def _is_correct(response: Response, name: str) -> bool:
    content = json.loads(response.body)
    text: str = content['choices'][0]['message']['content']
    return content['model'] == f'{name}@2' and text.startswith(f'{name}@2/')
