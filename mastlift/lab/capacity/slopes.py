"""Least-squares fit of a cost as `fixed + b x proxies + c x services + d x changes`. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from mastlift.lab.capacity.plan import PLANNED, FleetSize


class TooFewObservations(ValueError):
    """A fit needs at least one observation."""


@dataclass(frozen=True, slots=True)
class Observation:
    """One measured value at one size."""

    size: FleetSize
    value: float


@dataclass(frozen=True, slots=True)
class LinearCost:
    """A fitted cost. A slope is None where the observations can't tell it apart from the other terms."""

    fixed: float
    per_proxy: float | None
    per_service: float | None
    per_change: float | None
    r_squared: float
    worst_residual: float  # the largest absolute difference between a measured value and the line
    observations: int

    def at(self, size: FleetSize) -> float:
        """The cost at a size. Terms without a known slope count as part of `fixed`."""
        slopes = (self.per_proxy, self.per_service, self.per_change)
        amounts = (size.proxies, size.services, size.changes)
        return self.fixed + sum(
            slope * amount for slope, amount in zip(slopes, amounts, strict=True) if slope is not None
        )

    @property
    def planned(self) -> float:
        """The cost at the planned size."""
        return self.at(PLANNED)

    def as_text(self, digits: int = 3) -> str:
        """The formula, for tables."""
        terms = [f"{self.fixed:.{digits}g}"]
        for slope, name in (
            (self.per_proxy, "proxies"),
            (self.per_service, "services"),
            (self.per_change, "changes/s"),
        ):
            terms.append(f"{slope:.{digits}g} x {name}" if slope is not None else f"({name} not varied)")
        return " + ".join(terms)


def _independent_columns(columns: Sequence[np.ndarray]) -> list[int]:
    """Indices of the columns that each add a dimension to those before them."""
    kept: list[int] = []
    for index in range(len(columns)):
        candidate = np.column_stack([_scaled(columns[one]) for one in (*kept, index)])
        if np.linalg.matrix_rank(candidate) > len(kept):
            kept.append(index)
    return kept


def _scaled(column: np.ndarray) -> np.ndarray:
    """With a largest magnitude of 1: the rank must not depend on units."""
    largest = float(np.abs(column).max())
    return column / largest if largest else column


def fit(observations: Sequence[Observation]) -> LinearCost:
    """The least-squares fit. Raises TooFewObservations."""
    if not observations:
        raise TooFewObservations("there is nothing to fit")
    values = np.array([one.value for one in observations], dtype=float)
    columns = [np.ones(len(observations))]
    for term in ("proxies", "services", "changes"):
        columns.append(np.array([getattr(one.size, term) for one in observations], dtype=float))
    kept = _independent_columns(columns)
    scales = [float(np.abs(columns[index]).max()) for index in kept]
    design = np.column_stack([_scaled(columns[index]) for index in kept])
    coefficients, *_ = np.linalg.lstsq(design, values, rcond=None)
    residuals = values - design @ coefficients
    slopes: dict[int, float] = {
        index: float(coefficient / scale) for index, coefficient, scale in zip(kept, coefficients, scales, strict=True)
    }
    return LinearCost(
        slopes.get(0, 0.0),
        slopes.get(1),
        slopes.get(2),
        slopes.get(3),
        _r_squared(values, residuals),
        float(np.abs(residuals).max()),
        len(observations),
    )


def _r_squared(values: np.ndarray, residuals: np.ndarray) -> float:
    """The share of the variance that the line explains; 1.0 where nothing varies and the line is exact."""
    total = float(((values - values.mean()) ** 2).sum())
    left = float((residuals**2).sum())
    if total == 0.0:
        return 1.0 if left < 1e-12 else 0.0
    return 1.0 - left / total
