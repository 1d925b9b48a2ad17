"""The ``ryesaddle`` command."""

import asyncio
import random
import re
import sys
from pathlib import Path
from typing import Annotated
from urllib.parse import urlsplit

import cyclopts
import msgspec
import uvloop
from cyclopts import Parameter

import ryesaddle
from ryesaddle.cli.checks import check_paths
from ryesaddle.cli.operator import OperatorClient, read_seen
from ryesaddle.cli.passing_operator import PassingOperator
from ryesaddle.cli.report import flow_lines, status_lines, trace_lines
from ryesaddle.daemons.quic.agent import run_agent
from ryesaddle.daemons.quic.balancer import run_balancer
from ryesaddle.errors import ConfigurationFolderError, RyesaddleError, SettingsError
from ryesaddle.internal.address import Address
from ryesaddle.internal.config.change import diff_files
from ryesaddle.internal.config.folder import merge_files, read_folder
from ryesaddle.internal.store.client import StoreClient
from ryesaddle.platform.objects import PlatformObjects
from ryesaddle.settings import (
    AgentSettings,
    BalancerSettings,
    OperatorSettings,
    load_settings,
)

EXIT_OK = 0
EXIT_DIFFERENT = 1
EXIT_ERROR = 2
CALLER = re.compile(r"[0-9.]+:[0-9]+")

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
def check(*paths: Path):
    """Check configuration folders and settings files; nothing is changed.

    Parameters
    ----------
    paths
        Configuration folders, and settings files of any process.
    """
    if not paths:
        raise ConfigurationFolderError(
            ["nothing to check; name a folder or a settings file"]
        )
    for line in check_paths(paths):
        print(line)
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
    merge_files(files)
    seen = read_seen(folder)
    change = diff_files(seen.files, files)
    held = asyncio.run(_with_operator(operator, lambda op: op.held()))
    for line in change.lines(seen.files):
        print(line)
    if held.generation != seen.generation:
        theirs = diff_files(seen.files, held.files)
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
            raise ConfigurationFolderError(
                [f"{file.name}: {target} is not drained by this folder"]
            )
        file.unlink()
    else:
        body = {"kind": "drain", "target": target}
        file.write_bytes(msgspec.json.encode(body) + b"\n")
    return apply(folder, operator=operator)


@app.command
def status(*, operator: OperatorFile, as_json: AsJson = False):
    """Show every member: its role, configuration, flows and load."""
    settings = _operator_settings(operator)
    if settings.api == "platform":
        found = asyncio.run(_on_platform(settings, lambda op: op.status()))
    else:
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
        Value of X-Request-ID of the request. On the platform, the caller's address
        and port, HOST:PORT.
    """
    settings = _operator_settings(operator)
    if settings.api == "platform":
        return _trace_flow(settings, request_id, as_json)
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


def _trace_flow(settings, caller, as_json):
    if not CALLER.fullmatch(caller):
        raise SettingsError(
            f"{caller}: request ids lie in bytes that ryesaddle does not read here; "
            "take the caller's address and port from the target's access log and "
            "trace HOST:PORT"
        )
    found = asyncio.run(_on_platform(settings, lambda op: op.trace(caller)))
    if as_json:
        print(msgspec.json.encode(found).decode())
    else:
        print("\n".join(flow_lines(caller, found)))
    return EXIT_OK if any(found.values()) else EXIT_DIFFERENT


def _operator_settings(path):
    settings = load_settings(path, OperatorSettings)
    if not settings.store_url.startswith(("http://", "https://")):
        raise SettingsError(f"{path}: store_url must begin with http:// or https://")
    return settings


async def _on_platform(settings, command):
    url = urlsplit(settings.store_url)
    address = Address(url.hostname, url.port or 80)
    api = PlatformObjects(lambda: address)
    return await command(PassingOperator(StoreClient(api, random.Random())))


async def _with_operator(path, command):
    settings = _operator_settings(path)
    if settings.api == "platform":
        raise SettingsError(
            f"{path}: the platform's operator changes its configuration there; use "
            "status and trace here"
        )
    async with OperatorClient(settings) as operator:
        return await command(operator)
