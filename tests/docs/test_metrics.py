"""docs/METRICS.md and the metrics registry."""

from prometheus_client import REGISTRY

import skylarkdoord.entry
import skylarkdoord.sidecar  # noqa: F401

from ._pages import DOCS, section, table_rows

PREFIX = "skylarkdoor_"


def listed() -> list[str]:
    """Return the page's rows without their labels."""
    text = (DOCS / "METRICS.md").read_text()
    rows = table_rows(section(text, "## Metrics"))[1:]
    return [f"{name} {kind} {meaning}" for name, kind, _, meaning in rows]


def registered() -> list[str]:
    """Return the registered metrics in the same form."""
    found = []
    for metric in REGISTRY.collect():
        if metric.name.startswith(PREFIX):
            suffix = "_total" if metric.type == "counter" else ""
            name = f"`{metric.name}{suffix}`"
            found.append(f"{name} {metric.type} {metric.documentation}")
    return sorted(found)


class TestMetrics:
    """Every metric of the product."""

    def test_same(self):
        """Page and registry have the same names, types and meanings."""
        assert listed() == registered()
