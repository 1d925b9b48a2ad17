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
from ryesaddle.cli.operator import OperatorClient, read_sync_state
from ryesaddle.cli.passthrough_operator import PassthroughOperator
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
EXIT_NEGATIVE = 1  # diff found changes, or trace found no record
EXIT_ERROR = 2
CALLER_PATTERN = re.compile(r"[0-9.]+:[0-9]+")

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
    """Check configuration folders and settings files without changing anything.

    Parameters
    ----------
    paths
        Configuration folders, and settings files of any process or of the operator.
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
    """List the files that apply would change; the exit code is 1 if there are any.

    Parameters
    ----------
    folder
        The configuration folder.
    """
    files = read_folder(folder)
    merge_files(files)
    last_sync = read_sync_state(folder)
    local_change = diff_files(last_sync.files, files)
    stored = asyncio.run(_run_with_client(operator, lambda op: op.read_configuration()))
    for line in local_change.lines(last_sync.files):
        print(line)
    if stored.generation != last_sync.generation:
        store_change = diff_files(last_sync.files, stored.files)
        print(f"# the store has generation {stored.generation}, changed by others:")
        for line in store_change.lines(last_sync.files):
            print(f"# {line}")
    return EXIT_NEGATIVE if local_change else EXIT_OK


@app.command
def apply(folder: Path, *, operator: OperatorFile):
    """Apply the changed files of a folder to the configuration in the store.

    Parameters
    ----------
    folder
        The configuration folder.
    """
    applied = asyncio.run(_run_with_client(operator, lambda op: op.apply(folder)))
    for line in applied.lines:
        print(line)
    print(f"accepted as generation {applied.generation}")
    return EXIT_OK


@app.command
def pull(folder: Path, *, operator: OperatorFile):
    """Update a folder with the files that other operators changed.

    Parameters
    ----------
    folder
        The configuration folder.
    """
    pulled = asyncio.run(_run_with_client(operator, lambda op: op.pull(folder)))
    for line in pulled.lines:
        print(line)
    print(f"folder is at generation {pulled.generation}")
    return EXIT_OK


@app.command
def drain(folder: Path, target: str, *, operator: OperatorFile, undo: bool = False):
    """Send no new work to a target, by adding a drain file and applying the folder.

    Parameters
    ----------
    folder
        The configuration folder.
    target
        Name of the target.
    undo
        Remove the drain file, so that the target gets new work again.
    """
    drain_file = folder / f"90-drain-{target}.json"
    if undo:
        if not drain_file.exists():
            raise ConfigurationFolderError(
                [f"{drain_file.name}: {target} is not drained by this folder"]
            )
        drain_file.unlink()
    else:
        content = {"kind": "drain", "target": target}
        drain_file.write_bytes(msgspec.json.encode(content) + b"\n")
    return apply(folder, operator=operator)


@app.command
def status(*, operator: OperatorFile, as_json: AsJson = False):
    """Show every member: its role, configuration, flows and load."""
    settings = _load_operator_settings(operator)
    if settings.api == "platform":
        statuses = asyncio.run(_run_on_platform(settings, lambda op: op.status()))
    else:
        statuses = asyncio.run(_run_with_client(operator, lambda op: op.status()))
    if as_json:
        print(msgspec.json.encode(statuses).decode())
    else:
        print("\n".join(status_lines(statuses)))
    return EXIT_OK


@app.command
def trace(request_id: str, *, operator: OperatorFile, as_json: AsJson = False):
    """Show what became of a request; the exit code is 1 if there is no record of it.

    Parameters
    ----------
    request_id
        Value of the request's X-Request-ID header. On the platform, the address and
        port of the caller, HOST:PORT.
    """
    settings = _load_operator_settings(operator)
    if settings.api == "platform":
        return _trace_flow(settings, request_id, as_json)
    result = asyncio.run(_run_with_client(operator, lambda op: op.trace(request_id)))
    if as_json:
        print(msgspec.json.encode(result).decode())
    else:
        print("\n".join(trace_lines(request_id, result)))
    return EXIT_OK if result.entries else EXIT_NEGATIVE


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
    if not CALLER_PATTERN.fullmatch(caller):
        raise SettingsError(
            f"{caller}: the platform's balancers do not read request ids; "
            "take the caller's address and port from the target's access log and "
            "trace HOST:PORT"
        )
    flows_by_node = asyncio.run(_run_on_platform(settings, lambda op: op.trace(caller)))
    if as_json:
        print(msgspec.json.encode(flows_by_node).decode())
    else:
        print("\n".join(flow_lines(caller, flows_by_node)))
    return EXIT_OK if any(flows_by_node.values()) else EXIT_NEGATIVE


def _load_operator_settings(path):
    settings = load_settings(path, OperatorSettings)
    if not settings.store_url.startswith(("http://", "https://")):
        raise SettingsError(f"{path}: store_url must begin with http:// or https://")
    return settings


async def _run_on_platform(settings, command):
    url = urlsplit(settings.store_url)
    address = Address(url.hostname, url.port or 80)
    api = PlatformObjects(lambda: address)
    return await command(PassthroughOperator(StoreClient(api, random.Random())))


async def _run_with_client(path, command):
    settings = _load_operator_settings(path)
    if settings.api == "platform":
        raise SettingsError(
            f"{path}: the configuration is changed on the platform itself; use only "
            "status and trace here"
        )
    async with OperatorClient(settings) as client:
        return await command(client)
