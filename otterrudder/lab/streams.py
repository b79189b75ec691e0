"""Random number generators, one for each source, so that the draws of one source do not change those of
another."""

import zlib

import numpy as np


class RandomStreams:
    """Creates the random number generators of one seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def generator(self, source: str) -> np.random.Generator:
        """Returns a new generator. Generators of the same seed and source give the same numbers."""
        return np.random.Generator(np.random.PCG64([self.seed, zlib.crc32(source.encode())]))


def lognormal_parameters(mean: float, cv: float) -> tuple[float, float]:
    """Returns the parameters mu and sigma of the lognormal distribution with this mean and coefficient of
    variation."""
    variance = float(np.log(1 + cv * cv))
    return float(np.log(mean)) - variance / 2, variance**0.5
