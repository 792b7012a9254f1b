"""Plots of a bench as PNG files in one folder."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any


class Report:
    """Without a folder nothing is drawn; `wanted` then spares what would only be measured for a plot."""

    def __init__(self, folder: Path | None = None) -> None:
        self.folder, self.wanted = folder, folder is not None
        self.files: list[Path] = []

    def _figure(self) -> tuple[Any, Any]:
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot

        return pyplot.subplots(figsize=(8, 4.5), layout="constrained")

    def _save(self, figure: Any, name: str) -> None:
        assert self.folder is not None
        self.folder.mkdir(parents=True, exist_ok=True)
        self.files.append(self.folder / f"{name}.png")
        figure.savefig(self.files[-1], dpi=110)
        from matplotlib import pyplot

        pyplot.close(figure)

    def histogram(
        self,
        name: str,
        title: str,
        x_label: str,
        values: Mapping[str, Sequence[float]],
        bound: float | None = None,
        bound_label: str = "",
    ) -> None:
        """One histogram a name over common bins, with a line at a bound."""
        if not self.wanted:
            return
        figure, axes = self._figure()
        top = max((max(one) for one in values.values() if one), default=1.0)
        bins = [top * step / 40 for step in range(41)]
        for label, one in values.items():
            axes.hist(one, bins=bins, alpha=0.6, label=f"{label} ({len(one)})")
        if bound is not None:
            axes.axvline(bound, linestyle="--", color="black", label=bound_label)
        axes.set(title=title, xlabel=x_label, ylabel="count")
        axes.legend()
        self._save(figure, name)

    def lines(
        self,
        name: str,
        title: str,
        labels: tuple[str, str],
        series: Mapping[str, Mapping[float, float]],
        log_x: bool = False,
    ) -> None:
        """One line a name; `labels` are those of x and y."""
        if not self.wanted:
            return
        figure, axes = self._figure()
        for label, points in series.items():
            axes.plot(list(points), list(points.values()), marker="o", label=label)
        if log_x:
            axes.set_xscale("log")
        axes.set(title=title, xlabel=labels[0], ylabel=labels[1])
        axes.set_ylim(bottom=0)
        axes.grid(alpha=0.3)
        axes.legend()
        self._save(figure, name)
