"""Entry point of the command line for operators and callers."""

from __future__ import annotations

import sys

import typer

from briarrun_cli.bench import bench
from briarrun_cli.config_commands import config_app, key_app, team_app
from briarrun_cli.declarations import InvalidDeclarationsError
from briarrun_cli.exits import CommandError, ExitStatus
from briarrun_cli.init_commands import init
from briarrun_cli.job_commands import cancel, drain, explain, status, submit

app = typer.Typer(
    help="Declare teams, publish the configuration, submit and explain jobs.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
app.add_typer(config_app, name="config", no_args_is_help=True)
app.add_typer(key_app, name="key", no_args_is_help=True)
app.add_typer(team_app, name="team", no_args_is_help=True)
for command in (init, submit, cancel, status, explain, drain, bench):
    app.command()(command)


def main() -> None:
    """Run the command line and map errors to exit statuses."""
    try:
        app()
    except InvalidDeclarationsError as error:
        typer.echo(str(error), err=True)
        sys.exit(ExitStatus.INVALID)
    except CommandError as error:
        typer.echo(str(error), err=True)
        sys.exit(error.status)


if __name__ == "__main__":
    main()
