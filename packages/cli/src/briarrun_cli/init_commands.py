"""Command that creates declarations from a questionnaire."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated, Any

import typer
from pydantic import ValidationError

from briarrun_cli.declarations import (
    FLEET_FILE,
    Declarations,
    InvalidDeclarationsError,
    check_references,
    load_valid,
    save,
)
from briarrun_cli.exits import CommandError, ExitStatus
from briarrun_cli.findings import findings_of
from briarrun_cli.options import DEFAULT_FOLDER, FolderOption, JsonOption
from briarrun_cli.output import show
from briarrun_cli.questionnaire import Answers, Importance, Workload, apply_answers

AnswersOption = Annotated[
    Path | None,
    typer.Option("--answers", "-a", help="Take the answers from a JSON file."),
]


def init(
    folder: FolderOption = DEFAULT_FOLDER,
    answers_file: AnswersOption = None,
    as_json: JsonOption = False,
) -> None:
    """Fill in the questionnaire and write the declarations.

    Example: briarrun init -f fleet --answers answers.json
    """
    base = load_valid(folder) if (folder / FLEET_FILE).exists() else None
    answers = read_answers(answers_file) if answers_file else ask_answers(base)
    try:
        declarations = apply_answers(base, answers)
    except ValueError as error:
        raise CommandError(ExitStatus.INVALID, str(error)) from error
    findings = check_references(declarations)
    if findings:
        raise InvalidDeclarationsError(tuple(findings))
    save(folder, declarations)
    data = {
        "teams": sorted(declarations.teams_by_id),
        "queues": sorted(declarations.queues_by_name),
    }
    lines = [f"{name}: {', '.join(items) or '-'}" for name, items in data.items()]
    show(data, [*lines, "next: briarrun config publish"], as_json)


def read_answers(path: Path) -> Answers:
    """Read answers from a JSON file.

    Raises ``InvalidDeclarationsError`` with all findings, or ``CommandError`` if the file
    is not readable as JSON.
    """
    try:
        return Answers.model_validate(json.loads(path.read_bytes()))
    except ValidationError as error:
        found = findings_of(str(path), error)
        raise InvalidDeclarationsError(tuple(found)) from error
    except (OSError, ValueError, RecursionError) as error:
        message = f"{path}: can't be read as JSON: {error}"
        raise CommandError(ExitStatus.INVALID, message) from error


def ask_answers(base: Declarations | None) -> Answers:
    """Ask for the answers at the terminal.

    Raises ``InvalidDeclarationsError`` with all findings if they are invalid.
    """
    data: dict[str, Any] = {"teams": [_ask_team()]}
    if base is None:
        data["fleet"] = {"domains": _ask_domains()}
    try:
        return Answers.model_validate(data)
    except ValidationError as error:
        found = findings_of("answers", error)
        raise InvalidDeclarationsError(tuple(found)) from error


def _ask_domains() -> dict[str, str]:
    names = typer.prompt("Failure domains, separated by commas")
    return {
        name: typer.prompt(f"Region of {name}")
        for name in (item.strip() for item in names.split(","))
        if name
    }


def _ask_team() -> dict[str, Any]:
    team = typer.prompt("Name of the team")
    runs = {
        workload.value: typer.prompt(
            f"How urgent are its {workload.value} (urgent, normal, low)",
            default="normal",
        )
        for workload in Workload
        if typer.confirm(f"Does it run {workload.value}?", default=False)
    }
    sizes = ", ".join(item.value for item in Importance)
    return {
        "team": team,
        "runs": runs,
        "share": typer.prompt(f"Its share of a full fleet ({sizes})", default="small"),
        "cores": typer.prompt("Most cores it may use", type=int),
        "memory_gib": typer.prompt("Most memory it may use, in GiB", type=int),
        "accelerators": typer.prompt("Most accelerators", type=int, default=0),
        "concurrent_requests": typer.prompt(
            "Most requests at the same time",
            type=int,
            default=0,
        ),
    }
