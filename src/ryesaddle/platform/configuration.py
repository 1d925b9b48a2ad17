"""Translates the operator's objects: the configuration and evacuations."""

from ryesaddle.internal.address import Address
from ryesaddle.internal.config.evacuation import EvacuationState
from ryesaddle.internal.routing.route import Route, RouteTable, TrafficShare

KIND = "config"
NAME = "main"
EVACUATION_KIND = "evacuations"  # one object for each evacuated data centre
DEFAULT_IDLE_TIMEOUT_MS = 15_000
DEFAULT_TIMEOUT_MS = 30_000
DEFAULT_PRIORITY = 9
REPEATABLE_TYPES = ("idempotent", "download")


def read_routes(spec):
    """Return the `RouteTable` in a specification, and the problems found in it.

    Parameters
    ----------
    spec : dict
        Specification of the configuration object.

    Returns
    -------
    tuple of RouteTable or None, list of str
        The table without the malformed routes, or None if the object has no
        valid version or no list of routes; and one line for each problem.
    """
    version = spec.get("version")
    if type(version) is not int or not isinstance(spec.get("routes"), list):
        return None, ["version is not an integer or routes is not a list"]
    routes, problems = {}, []
    for item in spec["routes"]:
        try:
            front, route = _read_route(item)
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            problems.append(f"malformed route skipped: {exc!r}")
            continue
        routes[front] = route
    limits = spec.get("limits")
    idle_ms = limits.get("idleTimeoutMs") if isinstance(limits, dict) else None
    idle_s = _number_or_default(idle_ms, DEFAULT_IDLE_TIMEOUT_MS) / 1000
    warm_up_per_s = _read_warm_up(spec.get("services"), problems)
    table = RouteTable(version, tuple(routes.items()), idle_s, warm_up_per_s)
    return table, problems


def read_evacuations(objects, version, era=0):
    """Return the `EvacuationState` in a list of the kind `EVACUATION_KIND`.

    Parameters
    ----------
    objects : iterable of StoreObject
        The objects; their names are those of the evacuated data centres.
    version : str
        Revision of the store at the reading.
    era : int
        Era of the store at the reading.
    """
    names = sorted(obj.metadata.name for obj in objects)
    return EvacuationState(era, int(version), tuple(names))


def _read_warm_up(services, problems):
    rates = {}
    for item in services if isinstance(services, list) else ():
        if not isinstance(item, dict) or not isinstance(item.get("name"), str):
            problems.append("malformed service skipped")
            continue
        rate = _number_or_default(item.get("warmupPerS"), 0)
        if rate > 0:
            rates[item["name"]] = float(rate)
    return tuple(sorted(rates.items()))


def _read_route(item):
    # Despite its name, pathPrefix holds the port, between slashes: "/8080/".
    port = int(item["pathPrefix"].strip("/"))
    if not 0 < port < 65_536 or not isinstance(item["host"], str):
        raise ValueError(f"invalid address: {item['host']}:{port}")
    if item.get("service"):
        shares = (TrafficShare(str(item["service"]), 1.0),)
    else:
        shares = tuple(
            TrafficShare(
                str(part["service"]), float(_number_or_default(part.get("weight"), 1))
            )
            for part in item["backends"]
        )
    if not shares:
        raise ValueError("route has no service")
    timeout_ms = _number_or_default(item.get("timeoutMs"), DEFAULT_TIMEOUT_MS)
    route = Route(
        name=str(item.get("name", "")),
        shares=shares,
        timeout_s=timeout_ms / 1000,
        objective_s=_number_or_default(item.get("targetLatencyMs"), timeout_ms) / 1000,
        priority=int(_number_or_default(item.get("priority"), DEFAULT_PRIORITY)),
        repeatable=item.get("type") in REPEATABLE_TYPES,
    )
    return Address(item["host"], port), route


def _number_or_default(value, default):
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        return default
    return value
