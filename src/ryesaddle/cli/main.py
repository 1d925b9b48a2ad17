"""The ``ryesaddle`` command."""

import asyncio
import sys
from pathlib import Path
from typing import Annotated

import cyclopts
import msgspec
import uvloop
from cyclopts import Parameter

import ryesaddle
from ryesaddle.cli.operator import OperatorClient, read_seen
from ryesaddle.cli.report import status_lines, trace_lines
from ryesaddle.daemons.agent import run_agent
from ryesaddle.daemons.balancer import run_balancer
from ryesaddle.errors import FolderError, RyesaddleError, SettingsError
from ryesaddle.internal.config.change import compare
from ryesaddle.internal.config.folder import merge, read_folder
from ryesaddle.settings import (
    AgentSettings,
    BalancerSettings,
    OperatorSettings,
    load_settings,
)

EXIT_OK = 0
EXIT_DIFFERENT = 1
EXIT_ERROR = 2

app = cyclopts.App(
    name="ryesaddle",
    help="A layer-4 load balancer that can say what became of each request.",
    version=ryesaddle.__version__,
)

OperatorFile = Annotated[
    Path,
    Parameter(
        name="--operator",
        env_var="RYESADDLE_OPERATOR",
        help="JSON file with store_url and peer_key_file.",
    ),
]
AsJson = Annotated[bool, Parameter(name="--json", negative=(), help="Print JSON.")]


@app.command
def balancer(settings: Path):
    """Run a balancer until SIGTERM.

    Parameters
    ----------
    settings
        JSON settings file of the process.
    """
    uvloop.run(run_balancer(load_settings(settings, BalancerSettings)))
    return EXIT_OK


@app.command
def agent(settings: Path):
    """Run the agent beside a target until SIGTERM.

    Parameters
    ----------
    settings
        JSON settings file of the process.
    """
    uvloop.run(run_agent(load_settings(settings, AgentSettings)))
    return EXIT_OK


@app.command
def check(folder: Path):
    """Check all files of a configuration folder; nothing is changed.

    Parameters
    ----------
    folder
        The configuration folder.
    """
    cfg = merge(read_folder(folder))
    print(f"{folder}: {len(cfg.services)} services, {len(cfg.rules)} rules: good")
    return EXIT_OK


@app.command
def diff(folder: Path, *, operator: OperatorFile):
    """List the files that apply would change; exit code 1 if there are any.

    Parameters
    ----------
    folder
        The configuration folder.
    """
    files = read_folder(folder)
    merge(files)
    seen = read_seen(folder)
    change = compare(seen.files, files)
    held = asyncio.run(_with_operator(operator, lambda op: op.held()))
    for line in change.lines(seen.files):
        print(line)
    if held.generation != seen.generation:
        theirs = compare(seen.files, held.files)
        print(f"# the store has generation {held.generation}, changed by others:")
        for line in theirs.lines(seen.files):
            print(f"# {line}")
    return EXIT_DIFFERENT if change else EXIT_OK


@app.command
def apply(folder: Path, *, operator: OperatorFile):
    """Bring the changed files of a folder into force.

    Parameters
    ----------
    folder
        The configuration folder.
    """
    applied = asyncio.run(_with_operator(operator, lambda op: op.apply(folder)))
    for line in applied.lines:
        print(line)
    print(f"accepted as generation {applied.generation}")
    return EXIT_OK


@app.command
def pull(folder: Path, *, operator: OperatorFile):
    """Bring the files that others changed into a folder.

    Parameters
    ----------
    folder
        The configuration folder.
    """
    pulled = asyncio.run(_with_operator(operator, lambda op: op.pull(folder)))
    for line in pulled.lines:
        print(line)
    print(f"folder is at generation {pulled.generation}")
    return EXIT_OK


@app.command
def drain(folder: Path, target: str, *, operator: OperatorFile, undo: bool = False):
    """Give a target no new work, by adding a drain file and applying it.

    Parameters
    ----------
    folder
        The configuration folder.
    target
        Name of the target.
    undo
        Remove the drain file instead.
    """
    file = folder / f"90-drain-{target}.json"
    if undo:
        if not file.exists():
            raise FolderError([f"{file.name}: {target} is not drained by this folder"])
        file.unlink()
    else:
        body = {"kind": "drain", "target": target}
        file.write_bytes(msgspec.json.encode(body) + b"\n")
    return apply(folder, operator=operator)


@app.command
def status(*, operator: OperatorFile, as_json: AsJson = False):
    """Show every member: its role, configuration, flows and load."""
    found = asyncio.run(_with_operator(operator, lambda op: op.status()))
    if as_json:
        print(msgspec.json.encode(found).decode())
    else:
        print("\n".join(status_lines(found)))
    return EXIT_OK


@app.command
def trace(request_id: str, *, operator: OperatorFile, as_json: AsJson = False):
    """Show what became of a request; exit code 1 if it is not known.

    Parameters
    ----------
    request_id
        Value of X-Request-ID of the request.
    """
    found = asyncio.run(_with_operator(operator, lambda op: op.trace(request_id)))
    if as_json:
        print(msgspec.json.encode(found).decode())
    else:
        print("\n".join(trace_lines(request_id, found)))
    return EXIT_OK if found.entries else EXIT_DIFFERENT


def run(tokens=None):
    """Run the command line and exit with its code."""
    try:
        code = app(tokens, result_action="return_value")
    except RyesaddleError as exc:
        for line in str(exc).splitlines():
            print(f"error: {line}", file=sys.stderr)
        code = EXIT_ERROR
    except KeyboardInterrupt:
        code = EXIT_ERROR
    sys.exit(code if isinstance(code, int) else EXIT_OK)


async def _with_operator(path, command):
    settings = load_settings(path, OperatorSettings)
    if not settings.store_url.startswith(("http://", "https://")):
        raise SettingsError(f"{path}: store_url must begin with http:// or https://")
    async with OperatorClient(settings) as operator:
        return await command(operator)
