"""Helpers that read the documentation pages."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"
CELL_BORDER = re.compile(r"(?<!\\)\|")
LINK = re.compile(r"\]\(([^)\s]+)\)")


def pages() -> list[Path]:
    """Return the paths of all documentation pages."""
    return [ROOT / "README.md", ROOT / "CHANGELOG.md", *sorted(DOCS.rglob("*.md"))]


def table_rows(text: str) -> list[list[str]]:
    """Return the cells of each table row, without the separators below headings."""
    rows = []
    for line in text.splitlines():
        if line.startswith("|") and not line.startswith("| ---"):
            cells = CELL_BORDER.split(line)[1:-1]
            rows.append([cell.strip() for cell in cells])
    return rows


def section(text: str, heading: str) -> str:
    """Return the text below a heading, up to the next of its level or above."""
    level = heading.split(" ", 1)[0]
    _, _, rest = f"\n{text}".partition(f"\n{heading}\n")
    return re.split(rf"\n#{{1,{len(level)}}} ", rest)[0]


def links(page: Path) -> list[str]:
    """Return the targets of a page's relative links."""
    targets = LINK.findall(page.read_text())
    return [target for target in targets if not target.startswith("http")]
