"""Random numbers, a stream for each source: one source's draws never shift another's."""

import zlib

import numpy as np


class RandomStreams:
    """The streams of one seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def generator(self, source: str) -> np.random.Generator:
        """A fresh generator, the same for the same seed and source."""
        return np.random.Generator(np.random.PCG64([self.seed, zlib.crc32(source.encode())]))


def lognormal_parameters(mean: float, cv: float) -> tuple[float, float]:
    """The two parameters of a lognormal distribution with this mean and coefficient of variation."""
    variance = float(np.log(1 + cv * cv))
    return float(np.log(mean)) - variance / 2, variance**0.5
