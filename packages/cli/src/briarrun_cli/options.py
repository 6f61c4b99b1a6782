"""Command-line options shared by several commands."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

FolderOption = Annotated[
    Path,
    typer.Option("--folder", "-f", help="Folder of the declarations."),
]
LogOption = Annotated[
    str,
    typer.Option("--log", envvar="BRIARRUN_LOG", help="Log service, host:port."),
]
EntryOption = Annotated[
    str,
    typer.Option("--entry", envvar="BRIARRUN_ENTRY", help="Entry VM, host:port."),
]
OptionalEntryOption = Annotated[
    str | None,
    typer.Option("--entry", envvar="BRIARRUN_ENTRY", help="Entry VM, host:port."),
]
OperationsOption = Annotated[
    str | None,
    typer.Option(
        "--operations",
        help="Metrics address of a VM of the cell, host:port; asked instead.",
    ),
]
KeyOption = Annotated[
    str | None,
    typer.Option("--key", envvar="BRIARRUN_KEY", help="Key of the team."),
]
TimeoutOption = Annotated[
    float,
    typer.Option("--timeout", help="Seconds to wait.", min=0.1, max=600.0),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]
AuthorOption = Annotated[
    str,
    typer.Option("--author", help="Who makes the change, kept in the log."),
]
BaseOption = Annotated[
    int | None,
    typer.Option("--base", help="Generation the declarations were made from.", min=0),
]

DEFAULT_FOLDER = Path()
DEFAULT_TIMEOUT_S = 10.0
