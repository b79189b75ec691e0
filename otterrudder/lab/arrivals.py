"""All requests of a day, drawn beforehand: variants of the day meet the very same ones."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

import numpy as np

from otterrudder.lab.shapes import Shape
from otterrudder.lab.site import Site
from otterrudder.lab.streams import RandomStreams, lognormal_parameters

SLOT_MS = 50.0  # ms in which the rate is taken to be even
MAX_REQUESTS = 2_000_000  # of a day: past that the file offered_requests for something else than it means


@dataclass(slots=True)
class OfferedRequest:
    """One request as a caller offered_requests for it, whatever becomes of its tries."""

    number: int
    at: float  # ms
    product: int
    tenant: int
    key: int  # its user; 0: none that is told
    rank: float
    gateway: int
    work: float  # ms on a core of speed 1, the same for each try
    calls: int
    patience: float  # ms after which its caller goes away; inf: never before its expiry
    left: int = 0  # further requests of its session
    session: int = 0


class Arrivals:
    """The day's offered_requests in order of time."""

    def __init__(self, site: Site, demand: Shape, streams: RandomStreams, length_ms: float) -> None:
        self.site = site
        self._marks = streams.generator("marks")
        self._work = streams.generator("work")
        self._users = streams.generator("users")
        self._count = 0
        whole = sum(p.share for p in site.product)
        self._shares = np.array([p.share / whole for p in site.product])
        tenants = [t.share for t in site.tenant] or [1.0]
        self._tenants = np.array(tenants) / sum(tenants)
        ranks = np.arange(1, site.keys + 1, dtype=float) ** -site.zipf
        self._keys = ranks / ranks.sum()
        self.offered_requests = self._draw(demand, streams.generator("times"), length_ms)

    def _draw(self, demand: Shape, times: np.random.Generator, length_ms: float) -> list[OfferedRequest]:
        """A Poisson process whose rate follows the demand; whole sessions where the site has them."""
        starts = np.arange(0.0, length_ms, SLOT_MS)
        each = self.site.capacity / (self.site.session_mean or 1.0)
        rates = np.array([demand(float(s) / 1000) for s in starts]) * each * SLOT_MS
        if rates.sum() > MAX_REQUESTS:
            raise ValueError(f"a day of {rates.sum():.0f} txns is more than {MAX_REQUESTS}")
        counts = times.poisson(rates)
        at = np.sort(np.repeat(starts, counts) + times.random(int(counts.sum())) * SLOT_MS)
        return list(self._asks(at))

    def _asks(self, at: np.ndarray) -> Iterator[OfferedRequest]:
        n, site = len(at), self.site
        products = self._marks.choice(len(site.product), n, p=self._shares)
        tenants = self._marks.choice(len(self._tenants), n, p=self._tenants)
        ranks, gateways = self._marks.random(n), self._marks.integers(0, site.gateways.count, n)
        keys = self._users.choice(site.keys, n, p=self._keys) + 1
        more = self._users.geometric(1 / site.session_mean, n) - 1 if site.session_mean else np.zeros(n, int)
        leaves, part = self._marks.random(n), self._marks.random(n)
        for k in range(n):
            self._count += 1
            product = int(products[k])
            request_class = site.product[product]
            left = int(more[k])
            # Users of sessions are all different: a session is one, and none goes on in another's name.
            key = self._count + site.keys if site.session_mean else int(keys[k])
            yield OfferedRequest(
                self._count,
                float(at[k]),
                product,
                int(tenants[k]),
                key if request_class.has_key and site.keys_known else 0,
                float(ranks[k]),
                int(gateways[k]),
                self._draw_work(product),
                request_class.calls,
                float(part[k]) * request_class.expiry_ms
                if leaves[k] < site.gateways.leaves
                else float("inf"),
                left,
                self._count,
            )

    def _draw_work(self, product: int) -> float:
        request_class = self.site.product[product]
        if request_class.cv < 1e-3:  # constant, as in the source's own model
            return request_class.work_ms
        return float(self._work.lognormal(*lognormal_parameters(request_class.work_ms, request_class.cv)))

    def next_of(self, offered: OfferedRequest, now: float) -> OfferedRequest:
        """The next request of a session, asked for as soon as the last has settled."""
        self._count += 1
        work = self._draw_work(offered.product)
        return replace(
            offered, number=self._count, at=now, work=work, patience=float("inf"), left=offered.left - 1
        )
