"""Operators' commands, sent to any node over HTTP.

Exit codes: 0 success, 1 refused or failed (the typed failure is printed), 2 invalid flags or
files, 5 no response from the node.
"""

import json
import secrets
import sys
import time

from cleo.commands.command import Command
from cleo.helpers import argument, option
from configuration import templates
from routing import engine_calls
from routing.engine_api import EngineRequest, read_json
from transport import failures

__all__ = ["COMMANDS"]

_NODE = option("node", None, "HTTP address of any node", flag=False, default="127.0.0.1:7500")
_PARTNER = option("partner", "p", "The partner on whose behalf you act", flag=False, default="")
_TOKEN = option("token-file", None, "File with the partner's token", flag=False)
_EXPECT = option("expect", None, "Refuse unless this is the current stamp", flag=False)
_CHANGE = option("change", None, "Id of this change; reuse it to send the change again", flag=False)
_WAIT = option("wait", "w", "Wait until every node has applied the change", flag=True)


def _request(node, method, path, body=None, headers=()):
    """(status, body) of a node's response; status 0 if there was none."""
    data = json.dumps(body).encode() if body is not None else b""
    response = engine_calls.call(
        EngineRequest(method, f"http://{node}{path}", data), 20000, headers=list(headers)
    )
    return response.code, read_json(response.data) or {}


def _print(code, body):
    print(json.dumps(body, indent=2, sort_keys=True))
    return 0 if code == 200 else 1 if code else 5


class _OperatorCommand(Command):
    """Base of the commands: requests to a node, with the common options."""

    def _get(self, path):
        code, body = _request(self.option("node"), "GET", path)
        if code == 0:
            body = failures.as_json(failures.Unreachable(self.option("node")))
        return _print(code, body)

    def _post(self, verb, body):
        headers = [f"X-Partner: {self.option('partner')}"]
        if self.option("token-file"):
            try:
                with open(self.option("token-file"), encoding="ascii") as source:
                    headers.append("Authorization: Bearer " + source.read().strip())
            except (OSError, UnicodeDecodeError):
                return self._usage_error("token-file", "unreadable")
        expect = self.option("expect")
        if expect is not None:
            if not expect.isdigit():
                return self._usage_error("expect", "not a whole number")
            body["expect"] = int(expect)
        body["change"] = self.option("change") or secrets.token_hex(12)
        code, result = _request(self.option("node"), "POST", f"/operator/{verb}", body, headers)
        if code == 0:
            result = {
                **failures.as_json(failures.Unreachable(self.option("node"))),
                "change": body["change"],
            }
        elif code == 200 and self.option("wait"):
            result["followed"] = self._wait_all(result.get("stamp", 0))
        return _print(code, result)

    def _wait_all(self, stamp):
        """Poll the nodes of the fleet until each has reached the stamp, for up to 30 s."""
        node, end_s = self.option("node"), time.monotonic() + 30
        waiting, followed = None, []
        while time.monotonic() < end_s and (waiting is None or waiting):
            if waiting is None:
                code, fleet = _request(node, "GET", "/operator/fleet")
                waiting = sorted(fleet.get("nodes", {})) if code == 200 else None
                http_addresses = {}
                if code == 200:
                    _, state = _request(node, "GET", "/operator/believes")
                    http_addresses = {**state.get("https", {}), state.get("node"): node}
                continue
            name = waiting.pop(0)
            _, state = _request(http_addresses.get(name, node), "GET", "/operator/believes")
            (
                followed
                if state.get("stamp", 0) >= stamp and state.get("node") == name
                else waiting
            ).append(name)
        return {"by": sorted(followed), "notYet": sorted(waiting or [])}

    def _usage_error(self, field, cause):
        print(json.dumps(failures.as_json(failures.ConfigWrong(field, cause))), file=sys.stderr)
        return 2

    def _load(self, path):
        try:
            with sys.stdin if path == "-" else open(path, encoding="utf8") as source:
                return json.load(source)
        except (OSError, ValueError):
            return None


class Layout(_OperatorCommand):
    name = "layout"
    description = "Read the current layout, or set a partner's section from a JSON file."
    arguments = [
        argument("file", "JSON file with the section to set; - for standard input", optional=True)
    ]
    options = [
        _NODE,
        _PARTNER,
        _TOKEN,
        _EXPECT,
        _CHANGE,
        _WAIT,
        option("partial", None, "The file is a merge patch", flag=True),
    ]

    def handle(self):
        if not self.argument("file"):
            return self._get("/operator/read/layout?name=" + self.option("partner"))
        section = self._load(self.argument("file"))
        if section is None:
            return self._usage_error("file", "not readable as JSON")
        return self._post(
            "layout",
            {
                "partner": self.option("partner"),
                "section": section,
                "partial": bool(self.option("partial")),
            },
        )


class Render(_OperatorCommand):
    name = "render"
    description = "Render a section from a template, for `layout -` or a file."
    arguments = [argument("template", "A Jinja2 template of a section")]
    options = [
        option("set", "s", "A parameter, NAME=JSON or NAME=TEXT", flag=False, multiple=True),
        option(
            "overlay",
            "o",
            "A merge patch to apply to it; may be repeated",
            flag=False,
            multiple=True,
        ),
    ]

    def handle(self):
        try:
            with open(self.argument("template"), encoding="utf8") as source:
                text = source.read()
        except (OSError, UnicodeDecodeError):
            return self._usage_error("template", "not readable")
        parameters = {}
        for pair in self.option("set"):
            name, separator, value = pair.partition("=")
            if not separator or not name.isidentifier():
                return self._usage_error("set", f"not NAME=VALUE: {pair}")
            try:
                parameters[name] = json.loads(value)
            except ValueError:
                parameters[name] = value
        overlays = [self._load(path) for path in self.option("overlay")]
        if None in overlays:
            return self._usage_error("overlay", "not readable as JSON")
        result = templates.render(text, parameters, overlays)
        if isinstance(result, failures.Failure):
            return _print(422, failures.as_json(result))
        return _print(200, result)


class _Zone(_OperatorCommand):
    arguments = [argument("zone", "The zone")]
    options = [_NODE, _PARTNER, _TOKEN, _EXPECT, _CHANGE, _WAIT]
    evacuated = True

    def handle(self):
        return self._post("zone", {"zone": self.argument("zone"), "evacuated": self.evacuated})


class Evacuate(_Zone):
    name = "evacuate"
    description = "Evacuate a zone: its engines get no new work."


class Restore(_Zone):
    name = "restore"
    description = "End a zone's evacuation: its engines get work again."
    evacuated = False


class Engines(_OperatorCommand):
    name = "engines"
    description = "Read the engines, or set some from a JSON list (the platform only)."
    arguments = [argument("file", "A JSON list of engines", optional=True)]
    options = [
        _NODE,
        _PARTNER,
        _TOKEN,
        _EXPECT,
        _CHANGE,
        _WAIT,
        option("name", None, "Only this engine or service", flag=False, default=""),
    ]

    def handle(self):
        if not self.argument("file"):
            return self._get("/operator/read/engines?name=" + self.option("name"))
        engines = self._load(self.argument("file"))
        if engines is None:
            return self._usage_error("file", "not readable as JSON")
        return self._post("engines", {"engines": engines})


class Zones(_OperatorCommand):
    name = "zones"
    description = "Print the zones, and which of them are evacuated."
    options = [_NODE]

    def handle(self):
        return self._get("/operator/read/zones")


class Why(_OperatorCommand):
    name = "why"
    description = "Print the unmet wishes, the rule that decided each, and whose wish won."
    arguments = [argument("wish", "Only this wish or service", optional=True)]
    options = [_NODE]

    def handle(self):
        return self._get("/operator/read/why?name=" + (self.argument("wish") or ""))


class Tenants(_OperatorCommand):
    name = "tenants"
    description = "Print each tenant's limit, and what this node was granted, spent and refused."
    options = [_NODE]

    def handle(self):
        return self._get("/operator/read/tenants")


class Fleet(_OperatorCommand):
    name = "fleet"
    description = "Print every node, as the log's leader sees it."
    options = [_NODE]

    def handle(self):
        return self._get("/operator/fleet")


class Compare(_OperatorCommand):
    name = "compare"
    description = "Compare the state of two nodes."
    arguments = [argument("one", "HTTP address"), argument("other", "HTTP address")]

    def handle(self):
        states = []
        for node in (self.argument("one"), self.argument("other")):
            code, body = _request(node, "GET", "/operator/believes")
            if code != 200:
                return _print(code, failures.as_json(failures.Unreachable(node)))
            states.append(body)
        same, differ = [], {}
        for key in sorted(set(states[0]) | set(states[1])):
            if key in ("node", "ageMs", "router", "depot", "watches", "live", "https"):
                continue
            if states[0].get(key) == states[1].get(key):
                same.append(key)
            else:
                differ[key] = [states[0].get(key), states[1].get(key)]
        return _print(
            200,
            {
                "nodes": [s["node"] for s in states],
                "same": same,
                "differ": differ,
                "ageMs": [s["ageMs"] for s in states],
            },
        )


COMMANDS = (Layout, Render, Evacuate, Restore, Engines, Zones, Why, Tenants, Fleet, Compare)
