"""Settings files on disk and the subtrees that they contain."""

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
# Stands for the settings of one process, which are not part of a subtree.
PROCESS_SETTINGS = ""


class SettingsFile(NamedTuple):
    """A file with valid settings.

    Attributes:
        document: The parsed file.
        subtree: Path of the subtree that it contains; `PROCESS_SETTINGS` for the
            settings of one process.
        content: The validated settings.
    """

    document: Document
    subtree: str
    content: Fleet | Team | ProcessSettings


class CheckResult(NamedTuple):
    """The result of a check of several files.

    Attributes:
        files: Files that are valid by themselves.
        problems: Problems within the files and between them.
        names_checked: Whether the files include a fleet, so that the names of tiers
            and pools were checked.
    """

    files: tuple[SettingsFile, ...]
    problems: tuple[SettingsError, ...]
    names_checked: bool


def find_files(path: Path) -> list[Path]:
    """Return the path itself if it is a file, else the settings files below it."""
    if not path.is_dir():
        return [path]
    return sorted(found for found in path.rglob("*") if found.suffix in SUFFIXES)


def subtree_of(path: Path) -> str:
    """Return the subtree that a file contains, according to its name and directory.

    `fleet.jsonc` contains `/fleet`, `teams/NAME.jsonc` contains `/teams/NAME`, and
    any other file contains the settings of a process.
    """
    if path.stem == FLEET_STEM:
        return FLEET_PATH
    if path.parent.name == TEAMS_DIRECTORY:
        return team_path(path.stem)
    return PROCESS_SETTINGS


def is_subtree(path: str) -> bool:
    """Return whether a settings path is the path of a whole subtree."""
    parent, _, name = path.rpartition("/")
    return path == FLEET_PATH or (parent == TEAMS_PATH and bool(name))


def check_file(path: Path, subtree: str) -> SettingsFile:
    """Check one file by itself.

    Raises:
        SettingsError: The file is invalid; messages name the file, line and path.
    """
    document = read_document(path)
    try:
        if subtree == PROCESS_SETTINGS:
            content: Fleet | Team | ProcessSettings = convert(
                document.value, ProcessSettings
            )
        else:
            content = check_document(subtree, document.value)
    except SettingsError as error:
        raise document.locate(error) from None
    return SettingsFile(document, subtree, content)


def check_files(paths: list[tuple[Path, str]]) -> CheckResult:
    """Check files by themselves and against each other.

    Args:
        paths: Each file with the subtree that it contains.
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
        if file.subtree == PROCESS_SETTINGS:
            continue
        first = by_subtree.setdefault(file.subtree, file)
        if first is not file:
            problems.append(_duplicate_subtree(file, first))
    fleet = by_subtree.get(FLEET_PATH)
    if fleet is not None:
        problems.extend(_cross_file_problems(by_subtree))
    return CheckResult(tuple(files), tuple(problems), fleet is not None)


def _duplicate_subtree(file: SettingsFile, first: SettingsFile) -> SettingsError:
    return SettingsError(
        f"contains {file.subtree}, as does {first.document.source}",
        source=file.document.source,
    )


def _cross_file_problems(files: dict[str, SettingsFile]) -> Iterator[SettingsError]:
    """Yield the problems between subtrees, each with its file and line."""
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
            yield from _with_files_and_lines(files, error)


def _with_files_and_lines(
    files: dict[str, SettingsFile], error: SettingsError
) -> Iterator[SettingsError]:
    for problem in error.problems:
        subtree = problem.path.removesuffix("/".join(("", *problem.keys)))
        yield files[subtree].document.locate(problem)
