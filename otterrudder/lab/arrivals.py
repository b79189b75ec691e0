"""Draws all requests of a simulation before it starts, so that all variants get the same requests."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

import numpy as np

from otterrudder.lab.shapes import Shape
from otterrudder.lab.site import Site
from otterrudder.lab.streams import RandomStreams, lognormal_parameters

SLOT_MS = 50.0  # interval in which the arrival rate is taken as constant
MAX_REQUESTS = 2_000_000  # maximum in one simulation; an experiment that exceeds it has a mistake in its load


@dataclass(slots=True)
class OfferedRequest:
    """One request of a caller, for all its attempts."""

    number: int
    at: float  # arrival time, in ms
    product: int
    tenant: int
    key: int  # key of its user; 0: no key is sent
    criticality: float
    gateway: int
    work_ms: float  # work on a core of speed 1, the same for each attempt
    calls: int  # number of downstream calls
    patience_ms: float  # time after which the caller disconnects; inf: it waits until the expiry
    remaining_in_session: int = 0  # number of further requests of its session
    session: int = 0


class Arrivals:
    """The requests of a simulation, in the order of their arrival."""

    def __init__(self, site: Site, demand: Shape, streams: RandomStreams, length_ms: float) -> None:
        self.site = site
        self._attributes = streams.generator("marks")
        self._work = streams.generator("work")
        self._users = streams.generator("users")
        self._count = 0
        total_share = sum(p.share for p in site.product)
        self._shares = np.array([p.share / total_share for p in site.product])
        tenants = [t.share for t in site.tenant] or [1.0]
        self._tenants = np.array(tenants) / sum(tenants)
        zipf_weights = np.arange(1, site.keys + 1, dtype=float) ** -site.zipf
        self._keys = zipf_weights / zipf_weights.sum()
        self.offered_requests = self._draw(demand, streams.generator("times"), length_ms)

    def _draw(self, demand: Shape, times: np.random.Generator, length_ms: float) -> list[OfferedRequest]:
        """Draws arrivals from a Poisson process whose rate follows the demand. In a site with sessions, each
        arrival is the first request of a session."""
        slot_starts = np.arange(0.0, length_ms, SLOT_MS)
        arrivals_per_ms = self.site.capacity / (self.site.session_mean or 1.0)
        rates = np.array([demand(float(s) / 1000) for s in slot_starts]) * arrivals_per_ms * SLOT_MS
        if rates.sum() > MAX_REQUESTS:
            raise ValueError(
                f"the load has {rates.sum():.0f} requests, more than the maximum of {MAX_REQUESTS}"
            )
        counts = times.poisson(rates)
        arrival_times = np.sort(np.repeat(slot_starts, counts) + times.random(int(counts.sum())) * SLOT_MS)
        return list(self._build_requests(arrival_times))

    def _build_requests(self, arrival_times: np.ndarray) -> Iterator[OfferedRequest]:
        n, site = len(arrival_times), self.site
        products = self._attributes.choice(len(site.product), n, p=self._shares)
        tenants = self._attributes.choice(len(self._tenants), n, p=self._tenants)
        criticalities, gateways = (
            self._attributes.random(n),
            self._attributes.integers(0, site.gateways.count, n),
        )
        keys = self._users.choice(site.keys, n, p=self._keys) + 1
        further_requests = (
            self._users.geometric(1 / site.session_mean, n) - 1 if site.session_mean else np.zeros(n, int)
        )
        disconnect_draws, patience_shares = self._attributes.random(n), self._attributes.random(n)
        for k in range(n):
            self._count += 1
            product = int(products[k])
            request_class = site.product[product]
            remaining = int(further_requests[k])
            # Each session has a user of its own, so that no two sessions share a key.
            key = self._count + site.keys if site.session_mean else int(keys[k])
            yield OfferedRequest(
                self._count,
                float(arrival_times[k]),
                product,
                int(tenants[k]),
                key if request_class.has_key and site.keys_known else 0,
                float(criticalities[k]),
                int(gateways[k]),
                self._draw_work(product),
                request_class.calls,
                float(patience_shares[k]) * request_class.expiry_ms
                if disconnect_draws[k] < site.gateways.leaves
                else float("inf"),
                remaining,
                self._count,
            )

    def _draw_work(self, product: int) -> float:
        request_class = self.site.product[product]
        if request_class.cv < 1e-3:  # constant work, as in the model of the paper (experiments/paper.toml)
            return request_class.work_ms
        return float(self._work.lognormal(*lognormal_parameters(request_class.work_ms, request_class.cv)))

    def next_in_session(self, offered: OfferedRequest, now: float) -> OfferedRequest:
        """The next request of a session. It arrives as soon as the one before has completed."""
        self._count += 1
        work_ms = self._draw_work(offered.product)
        return replace(
            offered,
            number=self._count,
            at=now,
            work_ms=work_ms,
            patience_ms=float("inf"),
            remaining_in_session=offered.remaining_in_session - 1,
        )
