"""Settings files on disk and the subtrees that they hold."""

from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from skylarkdoor.exceptions import SettingsError
from skylarkdoor.settings import (
    FLEET_PATH,
    TEAMS_PATH,
    Document,
    Fleet,
    ProcessSettings,
    Team,
    check_api_keys,
    check_document,
    check_shared,
    convert,
    read_document,
    team_path,
)

SUFFIXES = (".jsonc", ".json")
FLEET_STEM = "fleet"
TEAMS_DIRECTORY = "teams"
PROCESS = ""


class SettingsFile(NamedTuple):
    """A checked file.

    Attributes:
        document: Its content.
        subtree: Path of the subtree that it holds; `PROCESS` for a process's
            own settings.
        content: The checked record.
    """

    document: Document
    subtree: str
    content: Fleet | Team | ProcessSettings


class Checked(NamedTuple):
    """What came of a check.

    Attributes:
        files: Files that are right by themselves.
        problems: What is wrong.
        names_checked: Whether a fleet was there to check names against.
    """

    files: tuple[SettingsFile, ...]
    problems: tuple[SettingsError, ...]
    names_checked: bool


def find_files(path: Path) -> list[Path]:
    """Return a file itself, or the settings files below a directory."""
    if not path.is_dir():
        return [path]
    return sorted(found for found in path.rglob("*") if found.suffix in SUFFIXES)


def subtree_of(path: Path) -> str:
    """Return the subtree that a file holds by its place.

    `fleet.jsonc` holds `/fleet`, `teams/NAME.jsonc` holds `/teams/NAME`, and
    any other file the settings of a process.
    """
    if path.stem == FLEET_STEM:
        return FLEET_PATH
    if path.parent.name == TEAMS_DIRECTORY:
        return team_path(path.stem)
    return PROCESS


def is_subtree(path: str) -> bool:
    """Return whether a settings path is that of a whole subtree."""
    parent, _, name = path.rpartition("/")
    return path == FLEET_PATH or (parent == TEAMS_PATH and bool(name))


def check_file(path: Path, subtree: str) -> SettingsFile:
    """Check one file by itself.

    Raises:
        SettingsError: It is malformed; messages name file, line and path.
    """
    document = read_document(path)
    try:
        if subtree == PROCESS:
            content: Fleet | Team | ProcessSettings = convert(
                document.value, ProcessSettings
            )
        else:
            content = check_document(subtree, document.value)
    except SettingsError as error:
        raise document.locate(error) from None
    return SettingsFile(document, subtree, content)


def check_files(paths: list[tuple[Path, str]]) -> Checked:
    """Check files by themselves and against each other.

    Args:
        paths: Each file with the subtree that it holds.
    """
    files: list[SettingsFile] = []
    problems: list[SettingsError] = []
    for path, subtree in paths:
        try:
            files.append(check_file(path, subtree))
        except SettingsError as error:
            problems.extend(error.problems)
    by_subtree: dict[str, SettingsFile] = {}
    for file in files:
        if file.subtree == PROCESS:
            continue
        first = by_subtree.setdefault(file.subtree, file)
        if first is not file:
            problems.append(_held_twice(file, first))
    fleet = by_subtree.get(FLEET_PATH)
    if fleet is not None:
        problems.extend(_between(by_subtree))
    return Checked(tuple(files), tuple(problems), fleet is not None)


def _held_twice(file: SettingsFile, first: SettingsFile) -> SettingsError:
    return SettingsError(
        f"holds {file.subtree} as {first.document.source} does",
        source=file.document.source,
    )


def _between(files: dict[str, SettingsFile]) -> Iterator[SettingsError]:
    """Yield what is wrong between subtrees, each at its file and line."""
    fleet = files[FLEET_PATH].content
    assert isinstance(fleet, Fleet)
    teams = {
        path.rpartition("/")[2]: file.content
        for path, file in files.items()
        if isinstance(file.content, Team)
    }
    for check in (lambda: check_shared(fleet, teams), lambda: check_api_keys(teams)):
        try:
            check()
        except SettingsError as error:
            yield from _at_files(files, error)


def _at_files(
    files: dict[str, SettingsFile], error: SettingsError
) -> Iterator[SettingsError]:
    for problem in error.problems:
        subtree = problem.path.removesuffix("/".join(("", *problem.keys)))
        yield files[subtree].document.locate(problem)
