"""Runs a balancer or an agent with the platform's protocols."""

import os
import sys

import uvloop

from ryesaddle.daemons.passthrough.http import HttpReply
from ryesaddle.daemons.passthrough.live import LiveSettings
from ryesaddle.daemons.passthrough.settings import (
    PassthroughAgentSettings,
    PassthroughBalancerSettings,
)
from ryesaddle.errors import SettingsError, StoreUnavailableError
from ryesaddle.platform.configuration import (
    EVACUATION_KIND,
    KIND,
    NAME,
    read_evacuations,
    read_routes,
)
from ryesaddle.platform.heartbeat import HEARTBEAT, read_heartbeat, read_path
from ryesaddle.platform.objects import PlatformObjects
from ryesaddle.platform.packet import PlatformPackets

READY_PATH = "/ryesaddle/readyz"
SETTINGS_VARIABLE = "RYESADDLE_SETTINGS"


def run(role, bound_socket, control=None):
    """Run a process of a role until it is signalled to stop.

    Parameters
    ----------
    role : str
        ``balancer`` or ``agent``.
    bound_socket : socket.socket
        UDP socket for callers' packets (balancer) or for messages (agent).
    control : socket.socket, optional
        Socket that listens for the target's heartbeats (agent).
    """
    path = os.environ[SETTINGS_VARIABLE]
    # Each role imports only what it needs: callers wait while a process starts.
    try:
        if role == "balancer":
            from ryesaddle.daemons.passthrough.run_balancer import run_balancer

            settings = LiveSettings(path, PassthroughBalancerSettings)
            main = run_balancer(
                settings,
                bound_socket,
                PlatformPackets(),
                PlatformObjects(lambda: settings.store),
                _read_configuration,
                _read_evacuations,
                READY_PATH,
            )
        else:
            from ryesaddle.daemons.passthrough.run_agent import run_agent

            settings = LiveSettings(path, PassthroughAgentSettings)
            main = run_agent(
                settings,
                bound_socket,
                PlatformPackets(),
                PlatformObjects(lambda: settings.store),
                _handle_target_request,
                READY_PATH,
                control,
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


async def _read_evacuations(store):
    objects, version = await store.list(EVACUATION_KIND, attempts=1)
    return read_evacuations(objects, version, store.era)


def _handle_target_request(heartbeats, req):
    parsed = read_path(req.path)
    if parsed is None or req.method != "POST":
        return HttpReply(404)
    target, action = parsed
    if action != HEARTBEAT:
        return heartbeats.handle_goodbye(target)
    report = read_heartbeat(target, req.body)
    if report is None:
        return heartbeats.handle_malformed_heartbeat(target)
    return heartbeats.handle_heartbeat(report)
