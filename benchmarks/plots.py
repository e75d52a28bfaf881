"""Draws measurements as PNG files."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import matplotlib as mpl

mpl.use('Agg')

from matplotlib import pyplot as plt  # noqa: E402

if TYPE_CHECKING:
    from pathlib import Path


def bars(
    title: str,
    label: str,
    heights: dict[str, float],
    directory: Path,
) -> None:
    """Draw a bar chart with one bar for each name."""
    figure, axes = plt.subplots(figsize=(7, 3.5))
    axes.barh(list(heights), list(heights.values()))
    axes.invert_yaxis()
    axes.set_title(title)
    axes.set_xlabel(label)
    figure.tight_layout()
    figure.savefig(directory / f'{_file_name(title)}.png', dpi=100)
    plt.close(figure)


def lines(
    title: str,
    labels: tuple[str, str],
    series: dict[str, list[tuple[float, float]]],
    directory: Path,
) -> None:
    """Draw a line chart with one line for each name."""
    figure, axes = plt.subplots(figsize=(7, 3.5))
    for name, points in series.items():
        axes.plot(*zip(*points, strict=True), marker='o', label=name)
    axes.set_title(title)
    axes.set_xlabel(labels[0])
    axes.set_ylabel(labels[1])
    axes.legend()
    figure.tight_layout()
    figure.savefig(directory / f'{_file_name(title)}.png', dpi=100)
    plt.close(figure)


def _file_name(title: str) -> str:
    return re.sub('[^a-z0-9]+', '-', title.lower()).strip('-')
