"""Plots of benchmark results."""

import json
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

RESULTS = Path("bench-results")


def read_rows(name: str) -> list[dict]:
    """Return the rows of a benchmark's results, empty if there is no results file.

    :param name: name of the results file without its suffix
    """
    path = RESULTS / f"{name}.jsonl"
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text().splitlines()]


def plot(
    name: str, rows: list[dict], x_field: str, y_field: str, budget: float | None = None
) -> None:
    """Write a scatter plot of one field against another; write nothing without rows.

    :param name: name of the image file without its suffix
    :param rows: rows of the results
    :param x_field: field of the horizontal axis
    :param y_field: field of the vertical axis
    :param budget: value of a horizontal line, ``None`` for no line
    """
    if not rows:
        return
    figure, axes = pyplot.subplots(figsize=(6, 4))
    axes.plot([row[x_field] for row in rows], [row[y_field] for row in rows], "o")
    if budget is not None:
        axes.axhline(budget, linestyle="--")
    axes.set_xlabel(x_field)
    axes.set_ylabel(y_field)
    axes.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(RESULTS / f"{name}.png")


def main() -> None:
    """Plot a coordinator's CPU time by request rate, and tickets' acceptance delay by daemons."""
    plot("control", read_rows("control"), "offered_per_s", "cpu_ms_per_s", budget=34.0)
    tickets = [row for row in read_rows("facts") if row["measure"] == "tickets"]
    plot("tickets", tickets, "daemons", "accept_max_ms")


if __name__ == "__main__":
    main()
