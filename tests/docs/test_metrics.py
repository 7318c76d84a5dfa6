"""Consistency of docs/METRICS.md with the metrics registry."""

import re

from prometheus_client import REGISTRY

import skylarkdoord.direct.entry
import skylarkdoord.direct.guard
import skylarkdoord.entry
import skylarkdoord.sidecar  # noqa: F401

from ._pages import DOCS, section, table_rows

NAME = re.compile(r"`(\w+)`")
PREFIX = "skylarkdoor_"


def listed() -> list[str]:
    """Return name, type and meaning of each metric on the page."""
    text = (DOCS / "METRICS.md").read_text()
    rows = table_rows(section(text, "## Metrics"))[1:]
    return [f"{name} {kind} {meaning}" for name, kind, _, meaning in rows]


def registered() -> list[str]:
    """Return name, type and meaning of each registered metric."""
    found = []
    for metric in REGISTRY.collect():
        if metric.name.startswith(PREFIX):
            suffix = "_total" if metric.type == "counter" else ""
            name = f"`{metric.name}{suffix}`"
            found.append(f"{name} {metric.type} {metric.documentation}")
    return sorted(found)


class TestMetrics:
    """Every metric of the product."""

    def test_matches_registry(self):
        """Page and registry have the same names, types and meanings."""
        assert listed() == registered()

    def test_labels(self):
        """Every label in the table is explained below it."""
        text = section((DOCS / "METRICS.md").read_text(), "## Metrics")
        used = {label for row in table_rows(text)[1:] for label in NAME.findall(row[2])}
        explained = {label for label in used if f"\n- `{label}`: " in text}
        assert explained == used
