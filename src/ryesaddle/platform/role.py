"""Wires the product's processes to the platform's protocols."""

import os
import sys

import uvloop

from ryesaddle.daemons.passing.http import HttpReply
from ryesaddle.daemons.passing.live import LiveSettings
from ryesaddle.daemons.passing.settings import (
    PassingAgentSettings,
    PassingBalancerSettings,
)
from ryesaddle.errors import SettingsError, StoreUnavailableError
from ryesaddle.platform.configuration import KIND, NAME, read_routes
from ryesaddle.platform.heartbeat import BEAT, read_heartbeat, read_path
from ryesaddle.platform.objects import PlatformObjects
from ryesaddle.platform.packet import PlatformPackets

READY_PATH = "/ryesaddle/readyz"
SETTINGS_VARIABLE = "RYESADDLE_SETTINGS"


def run(role, early):
    """Run a role until it is told to stop.

    Parameters
    ----------
    role : str
        ``balancer`` or ``agent``.
    early : socket.socket
        The socket for packets of callers (balancer) or for messages (agent).
    """
    path = os.environ[SETTINGS_VARIABLE]
    # Each role imports its own parts only, since callers wait for a start.
    try:
        if role == "balancer":
            from ryesaddle.daemons.passing.run_balancer import run_balancer

            settings = LiveSettings(path, PassingBalancerSettings)
            main = run_balancer(
                settings,
                early,
                PlatformPackets(),
                PlatformObjects(lambda: settings.store),
                _read_configuration,
                READY_PATH,
            )
        else:
            from ryesaddle.daemons.passing.run_agent import run_agent

            settings = LiveSettings(path, PassingAgentSettings)
            main = run_agent(
                settings,
                early,
                PlatformPackets(),
                PlatformObjects(lambda: settings.store),
                _answer_target,
                READY_PATH,
            )
    except SettingsError as exc:
        sys.exit(f"error: {exc}")
    uvloop.run(main)


async def _read_configuration(store):
    obj = await store.get(KIND, NAME, attempts=1)
    if obj is None:
        return None
    table, problems = read_routes(obj.spec)
    if table is None:
        raise StoreUnavailableError(f"Configuration is malformed: {problems}.")
    return table


def _answer_target(heartbeats, req):
    found = read_path(req.path)
    if found is None or req.method != "POST":
        return HttpReply(404)
    target, verb = found
    if verb != BEAT:
        return heartbeats.goodbye(target)
    report = read_heartbeat(target, req.body)
    if report is None:
        return HttpReply(400, b"{}")
    return heartbeats.heartbeat(report)
