"""Renders settings templates as the users' platform's page describes them."""

import json
import re

TAG = re.compile(r"\{\{([#/^]?)([^}|]*)(?:\|(json))?\}\}")


def settings_of(role, **changes):
    """Return the platform's fields for a host of a role, from its page."""
    ip = "10.1.0.10" if role == "balancer" else "10.1.0.11"
    fields = {
        "nodeName": f"{'edge' if role == 'balancer' else 'side'}-bkk-a-1",
        "ip": ip,
        "zone": "bkk-a",
        "listenAddrs": {
            "datagramAddr": f"{ip}:8172",
            "readinessAddr": f"{ip}:8167",
            "admin": f"{ip}:8166",
            "outbound": f"{ip}:8162",
        },
        "portRange": [7720, 7735],
        "seeds": ["10.1.0.10:8166", "10.2.0.40:8166", "10.3.0.7:8166"],
        "heartbeatMs": 770,
        "bounds": {"maxFlowS": 60, "graceS": 6, "configApplyMs": 3000},
        "service": "huvo11a",
        "app": f"{ip}:8165",
        "platform": {"address": "10.200.1.7:8169"},
    }
    return {**fields, **changes}


def render(text, fields):
    """Return a template with its placeholders and sections filled in."""
    out, at = [], 0
    while match := TAG.search(text, at):
        out.append(text[at : match.start()])
        mark, name, as_json = match.groups()
        at = match.end()
        if mark == "#":
            end = text.index("{{/" + name + "}}", at)
            items = _value(fields, name) or []
            for number, item in enumerate(items):
                inner = text[at:end].replace("{{,}}", "," * (number < len(items) - 1))
                out.append(inner.replace("{{.}}", str(item)))
            at = end + len("{{/" + name + "}}")
            continue
        value = _value(fields, name)
        if as_json:
            out.append(json.dumps(value))
        else:
            out.append("" if value is None else str(value))
    out.append(text[at:])
    return "".join(out)


def _value(fields, name):
    value = fields
    for part in name.split("."):
        value = value[int(part)] if isinstance(value, list) else value.get(part)
        if value is None:
            return None
    return value
