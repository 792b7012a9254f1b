"""Deprecated alias of the `balancing` package, kept for one release."""

import warnings

from balancing import Balancer, api

__all__ = ["Balancer", "api"]

warnings.warn(
    "the package jasperhall is now balancing; the old name goes with the next release", FutureWarning, stacklevel=2
)
