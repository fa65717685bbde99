"""Plots of the benchmarks' results."""

import json
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

RESULTS = Path("bench-results")


def read_rows(name: str) -> list[dict]:
    """Return the rows of a benchmark.

    :param name: name of its file without the ending
    """
    path = RESULTS / f"{name}.jsonl"
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text().splitlines()]


def plot(name: str, rows: list[dict], across: str, up: str, budget: float | None = None) -> None:
    """Write a plot of one figure against another.

    :param name: name of the file without the ending
    :param rows: the rows
    :param across: field of the horizontal axis
    :param up: field of the vertical axis
    :param budget: value at which a line is drawn
    """
    if not rows:
        return
    figure, axes = pyplot.subplots(figsize=(6, 4))
    axes.plot([row[across] for row in rows], [row[up] for row in rows], "o")
    if budget is not None:
        axes.axhline(budget, linestyle="--")
    axes.set_xlabel(across)
    axes.set_ylabel(up)
    axes.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(RESULTS / f"{name}.png")


def main() -> None:
    """Plot a coordinator's cost against requests, and a ticket's spread against daemons."""
    plot("control", read_rows("control"), "offered_per_s", "cpu_ms_per_s", budget=34.0)
    tickets = [row for row in read_rows("facts") if row["measure"] == "tickets"]
    plot("tickets", tickets, "daemons", "accept_max_ms")


if __name__ == "__main__":
    main()
