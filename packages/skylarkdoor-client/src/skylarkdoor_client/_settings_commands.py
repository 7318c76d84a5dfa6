"""The commands of `skylarkdoor settings`."""

import json
from pathlib import Path
from typing import Any

import click

from skylarkdoor.exceptions import SettingsError
from skylarkdoor.settings import (
    FLEET_PATH,
    TEAMS_PATH,
    Document,
    read_document,
    read_text,
)
from skylarkdoor_client._admin import AdminClient, ChangeResult, CurrentValue
from skylarkdoor_client._context import Context, exit_with
from skylarkdoor_client._diff import diff_text, differences
from skylarkdoor_client._files import (
    PROCESS_SETTINGS,
    CheckResult,
    check_file,
    check_files,
    find_files,
    is_subtree,
    subtree_of,
)
from skylarkdoor_client._table import format_table
from skylarkdoor_client.exceptions import (
    AbsentError,
    ExitCode,
    InvalidError,
    Problem,
)

JSON_FIRST_CHARACTERS = ("{", "[", '"', "'")
FILE = click.Path(exists=True, dir_okay=False, path_type=Path)

pass_context = click.make_pass_decorator(Context)
expect_revision_option = click.option(
    "--expect-revision",
    type=click.IntRange(min=0),
    help="Change only if the subtree is at this revision; 0 for a new subtree.",
)


def settings_path(
    context: click.Context, parameter: click.Parameter, value: str
) -> str:
    """Normalise a path and check that it is a subtree or lies below one."""
    path = "/" + value.strip("/")
    parts = path.split("/")
    if f"/{parts[1]}" == FLEET_PATH or (
        f"/{parts[1]}" == TEAMS_PATH and len(parts) > 2
    ):
        return path
    raise click.BadParameter("expected a path below /fleet or /teams/NAME")


path_argument = click.argument("path", callback=settings_path)


@click.group()
def settings() -> None:
    """Check, read and change the settings shared by all instances."""


@settings.command()
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path)
)
@click.option(
    "--path",
    callback=lambda c, p, value: value and settings_path(c, p, value),
    help="Subtree that a single FILE contains; by default given by its location.",
)
@pass_context
def check(context: Context, files: tuple[Path, ...], path: str | None) -> None:
    """Check settings files without contacting an entry.

    fleet.jsonc contains /fleet, teams/NAME.jsonc contains /teams/NAME, and any
    other file the settings of one process. For a directory, all settings files
    below it are checked.
    """
    found = [file for given in files for file in find_files(given)]
    if path is not None and len(found) != 1:
        raise click.UsageError("--path requires exactly one file")
    if not found:
        raise click.UsageError("no settings files found")
    checked = check_files([(file, path or subtree_of(file)) for file in found])
    context.show(_check_fields(checked), _check_text(checked))
    if checked.problems:
        exit_with(ExitCode.INVALID)


def _check_fields(checked: CheckResult) -> dict[str, Any]:
    problems = [
        {"file": p.source, "line": p.line, "path": p.path, "message": p.message}
        for p in checked.problems
    ]
    return {"problems": problems, "names_checked": checked.names_checked}


def _check_text(checked: CheckResult) -> str:
    lines = [str(problem) for problem in checked.problems]
    lines.extend(
        f"{file.document.source}: ok as {file.subtree or 'process settings'}"
        for file in checked.files
    )
    if not checked.names_checked and any(
        f.subtree != PROCESS_SETTINGS for f in checked.files
    ):
        lines.append("names of tiers and pools were not checked: no fleet file given")
    return "\n".join(lines)


@settings.command("list")
@pass_context
def list_subtrees(context: Context) -> None:
    """Show the subtrees in the operator's scope."""
    found = context.run(lambda client: client.subtrees())
    columns = ("path", "revision", "author", "changed_at")
    rows = [[item.get(column) for column in columns] for item in found]
    context.show(found, format_table(columns, rows))


@settings.command("get")
@path_argument
@pass_context
def get_value(context: Context, path: str) -> None:
    """Show the value at PATH and the revision of its subtree."""
    current = context.run(lambda client: client.get(path))
    text = f"// {path} at revision {current.revision}\n{_pretty(current.document)}"
    context.show(
        {"path": path, "revision": current.revision, "document": current.document}, text
    )


@settings.command("set")
@path_argument
@click.argument("value")
@expect_revision_option
@pass_context
def set_value(
    context: Context, path: str, value: str, expect_revision: int | None
) -> None:
    """Set the value at PATH. VALUE is JSON or a bare word, which is a string."""
    document = _parse_value(value)
    changed = context.run(
        lambda client: client.put(path, document, expect_revision=expect_revision)
    )
    _show_change(context, changed)


@settings.command("delete")
@path_argument
@expect_revision_option
@pass_context
def delete_value(context: Context, path: str, expect_revision: int | None) -> None:
    """Remove the value at PATH."""
    changed = context.run(
        lambda client: client.delete(path, expect_revision=expect_revision)
    )
    _show_change(context, changed)


@settings.command("apply")
@click.argument("file", type=FILE)
@path_argument
@expect_revision_option
@pass_context
def apply_file(
    context: Context, file: Path, path: str, expect_revision: int | None
) -> None:
    """Replace the value at PATH with the content of FILE.

    Without --expect-revision, the command reads the current revision first, and
    the change fails if the subtree is changed between that read and the write.
    """
    document = _read_checked(context, file, path)

    async def work(client: AdminClient) -> ChangeResult:
        expected = expect_revision
        if expected is None:
            expected = (await _current_value(client, path)).revision
        try:
            return await client.put(path, document.value, expect_revision=expected)
        except InvalidError as error:
            raise _with_lines(error, document, path) from None

    _show_change(context, context.run(work))


@settings.command("diff")
@click.argument("file", type=FILE)
@path_argument
@pass_context
def diff_file(context: Context, file: Path, path: str) -> None:
    """Show how FILE differs from the value at PATH; exit status 1 if it does."""
    document = _read_checked(context, file, path)
    current = context.run(lambda client: _current_value(client, path))
    found = differences(path, current.document, document.value)
    result = {
        "path": path,
        "revision": current.revision,
        "differences": [difference._asdict() for difference in found],
    }
    text = f"// {path} at revision {current.revision}\n"
    context.show(result, text + (diff_text(found) or "// no difference"))
    if found:
        exit_with(ExitCode.DIFFERENT)


@settings.command()
@path_argument
@pass_context
def history(context: Context, path: str) -> None:
    """Show the changes that affected PATH, the oldest first."""
    found = context.run(lambda client: client.history(path))
    columns = ("revision", "author", "changed_at", "changed")
    rows = [[item.get(column) for column in columns] for item in found]
    context.show(found, format_table(columns, rows))


def _read_checked(context: Context, file: Path, path: str) -> Document:
    """Parse a file; validate it too if it contains a whole subtree."""
    try:
        if is_subtree(path):
            return check_file(file, path).document
        return read_document(file)
    except SettingsError as error:
        context.fail(_invalid(error))


def _invalid(error: SettingsError) -> InvalidError:
    problems = [
        Problem(_location(problem), problem.message) for problem in error.problems
    ]
    return InvalidError(problems)


def _location(problem: SettingsError) -> str:
    line = f"line {problem.line}" if problem.line else ""
    return ": ".join(part for part in (problem.source, line, problem.path) if part)


def _with_lines(error: InvalidError, document: Document, path: str) -> InvalidError:
    """Return the problems that an entry reported, with the file's line numbers."""
    located = []
    for problem in error.problems:
        inner = problem.path.removeprefix(path)
        if not problem.path.startswith(path):
            located.append(problem)
            continue
        keys = tuple(key for key in inner.split("/") if key)
        unlocated = SettingsError(problem.message, path=problem.path, keys=keys)
        located.append(Problem(_location(document.locate(unlocated)), problem.message))
    return InvalidError(located)


async def _current_value(client: AdminClient, path: str) -> CurrentValue:
    try:
        return await client.get(path)
    except AbsentError:
        return CurrentValue(0, None)


def _parse_value(value: str) -> Any:
    try:
        return read_text(value, source="VALUE")
    except SettingsError as error:
        if value.lstrip().startswith(JSON_FIRST_CHARACTERS):
            raise click.BadParameter(str(error)) from None
        return value


def _pretty(document: Any) -> str:
    return json.dumps(document, indent=2, ensure_ascii=False)


def _show_change(context: Context, changed: ChangeResult) -> None:
    lines = [f"{changed.subtree} is at revision {changed.revision}"]
    lines.extend(f"changed: {path}" for path in changed.changed)
    context.show(changed._asdict(), "\n".join(lines))
