"""Renders settings templates with the placeholder syntax of the platform."""

import json
import re

PLACEHOLDER = re.compile(r"\{\{([#/^]?)([^}|]*)(?:\|(json))?\}\}")


def platform_fields(role, **changes):
    """Return example values of the fields that the platform offers to templates."""
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
    """Return a template with its placeholders and sections filled in.

    ``{{name}}`` gives a value, ``{{name|json}}`` its JSON. ``{{#name}}`` to
    ``{{/name}}`` is a section: it is rendered once for each entry of a list or table,
    with ``{{.}}`` for the item and ``{{,}}`` for a comma after all items but the last,
    once for a number or another value that is true, and not at all without a value.
    """
    rendered, position = [], 0
    while match := PLACEHOLDER.search(text, position):
        rendered.append(text[position : match.start()])
        sigil, name, as_json = match.groups()
        position = match.end()
        if sigil == "#":
            end = text.index("{{/" + name + "}}", position)
            items = _section_items(_look_up(fields, name))
            for number, item in enumerate(items):
                item_text = text[position:end].replace(
                    "{{,}}", "," * (number < len(items) - 1)
                )
                rendered.append(render(item_text.replace("{{.}}", str(item)), fields))
            position = end + len("{{/" + name + "}}")
            continue
        value = _look_up(fields, name)
        if as_json:
            rendered.append(json.dumps(value))
        else:
            rendered.append("" if value is None else str(value))
    rendered.append(text[position:])
    return "".join(rendered)


def _section_items(value):
    """Return one item for each time that a section is rendered."""
    if isinstance(value, list | dict):
        return list(value)
    if value is None or value is False:
        return []
    return [value]


def _look_up(fields, name):
    value = fields
    for key in name.split("."):
        value = value[int(key)] if isinstance(value, list) else value.get(key)
        if value is None:
            return None
    return value
