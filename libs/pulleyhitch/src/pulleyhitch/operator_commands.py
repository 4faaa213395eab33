"""What operators ask of any node, over HTTP.

Exit codes: 0 done, 1 refused or failed (the typed failure is printed), 2 wrong
flags or files, 5 the node can't be reached or its answer never came.
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
_PARTNER = option("partner", "p", "Whose operator you are", flag=False, default="")
_TOKEN = option("token-file", None, "File with that partner's token", flag=False)
_EXPECT = option("expect", None, "Refuse unless this is the stamp in force", flag=False)
_CHANGE = option("change", None, "Id of this change, to ask again by", flag=False)
_WAIT = option("wait", "w", "Wait until every node follows it", flag=True)


def _request(node, method, path, body=None, headers=()):
    """(status, body) from a node; status 0 if there was no answer."""
    data = json.dumps(body).encode() if body is not None else b""
    ended = engine_calls.call(
        EngineRequest(method, f"http://{node}{path}", data), 20000, headers=list(headers)
    )
    return ended.code, read_json(ended.data) or {}


def _print(code, body):
    print(json.dumps(body, indent=2, sort_keys=True))
    return 0 if code == 200 else 1 if code else 5


class _Asking(Command):
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
                return self._wrong("token-file", "unreadable")
        expect = self.option("expect")
        if expect is not None:
            if not expect.isdigit():
                return self._wrong("expect", "not a whole number")
            body["expect"] = int(expect)
        body["change"] = self.option("change") or secrets.token_hex(12)
        code, found = _request(self.option("node"), "POST", f"/operator/{verb}", body, headers)
        if code == 0:
            found = {
                **failures.as_json(failures.Unreachable(self.option("node"))),
                "change": body["change"],
            }
        elif code == 200 and self.option("wait"):
            found["followed"] = self._wait_all(found.get("stamp", 0))
        return _print(code, found)

    def _wait_all(self, stamp):
        """Ask the node, then all counters it knows, until each has the stamp."""
        node, end_s = self.option("node"), time.monotonic() + 30
        waiting, followed = None, []
        while time.monotonic() < end_s and (waiting is None or waiting):
            if waiting is None:
                code, fleet = _request(node, "GET", "/operator/fleet")
                waiting = sorted(fleet.get("nodes", {})) if code == 200 else None
                http = {}
                if code == 200:
                    _, seen = _request(node, "GET", "/operator/believes")
                    http = {**seen.get("https", {}), seen.get("node"): node}
                continue
            name = waiting.pop(0)
            _, seen = _request(http.get(name, node), "GET", "/operator/believes")
            (
                followed if seen.get("stamp", 0) >= stamp and seen.get("node") == name else waiting
            ).append(name)
        return {"by": sorted(followed), "notYet": sorted(waiting or [])}

    def _wrong(self, field, cause):
        print(json.dumps(failures.as_json(failures.ConfigWrong(field, cause))), file=sys.stderr)
        return 2

    def _load(self, path):
        try:
            with sys.stdin if path == "-" else open(path, encoding="utf8") as source:
                return json.load(source)
        except (OSError, ValueError):
            return None


class Layout(_Asking):
    name = "layout"
    description = "Read the layout in force, or set a partner's section from a JSON file."
    arguments = [argument("file", "A section to set; - for standard input", optional=True)]
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
            return self._wrong("file", "not readable as JSON")
        return self._post(
            "layout",
            {
                "partner": self.option("partner"),
                "section": section,
                "partial": bool(self.option("partial")),
            },
        )


class Render(_Asking):
    name = "render"
    description = "Print a section from a template, for `layout -` or a file."
    arguments = [argument("template", "A Jinja2 template of a section")]
    options = [
        option("set", "s", "A parameter, NAME=JSON or NAME=TEXT", flag=False, multiple=True),
        option(
            "overlay",
            "o",
            "A merge patch to lay over it; may be repeated",
            flag=False,
            multiple=True,
        ),
    ]

    def handle(self):
        try:
            with open(self.argument("template"), encoding="utf8") as source:
                text = source.read()
        except (OSError, UnicodeDecodeError):
            return self._wrong("template", "not readable")
        parameters = {}
        for pair in self.option("set"):
            name, mark, value = pair.partition("=")
            if not mark or not name.isidentifier():
                return self._wrong("set", f"not NAME=VALUE: {pair}")
            try:
                parameters[name] = json.loads(value)
            except ValueError:
                parameters[name] = value
        overlays = [self._load(path) for path in self.option("overlay")]
        if None in overlays:
            return self._wrong("overlay", "not readable as JSON")
        found = templates.render(text, parameters, overlays)
        if isinstance(found, failures.Failure):
            return _print(422, failures.as_json(found))
        return _print(200, found)


class _Zone(_Asking):
    arguments = [argument("zone", "The zone")]
    options = [_NODE, _PARTNER, _TOKEN, _EXPECT, _CHANGE, _WAIT]
    evacuated = True

    def handle(self):
        return self._post("zone", {"zone": self.argument("zone"), "evacuated": self.evacuated})


class Evacuate(_Zone):
    name = "evacuate"
    description = "Give a zone's engines no new work."


class Restore(_Zone):
    name = "restore"
    description = "Let a zone's engines have work again."
    evacuated = False


class Engines(_Asking):
    name = "engines"
    description = "Read the engines, or set some from a JSON list (the platform's call)."
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
        given = self._load(self.argument("file"))
        if given is None:
            return self._wrong("file", "not readable as JSON")
        return self._post("engines", {"engines": given})


class Zones(_Asking):
    name = "zones"
    description = "Which zones there are, and which are evacuated."
    options = [_NODE]

    def handle(self):
        return self._get("/operator/read/zones")


class Why(_Asking):
    name = "why"
    description = "Which wishes are unmet, which rule decided, and whose won."
    arguments = [argument("wish", "Only this wish or service", optional=True)]
    options = [_NODE]

    def handle(self):
        return self._get("/operator/read/why?name=" + (self.argument("wish") or ""))


class Tenants(_Asking):
    name = "tenants"
    description = "Each tenant's limit, and what this node granted, spent and refused."
    options = [_NODE]

    def handle(self):
        return self._get("/operator/read/tenants")


class Fleet(_Asking):
    name = "fleet"
    description = "Every node, as the log node sees it."
    options = [_NODE]

    def handle(self):
        return self._get("/operator/fleet")


class Compare(_Asking):
    name = "compare"
    description = "What two nodes believe, and where they differ."
    arguments = [argument("one", "HTTP address"), argument("other", "HTTP address")]

    def handle(self):
        seen = []
        for node in (self.argument("one"), self.argument("other")):
            code, body = _request(node, "GET", "/operator/believes")
            if code != 200:
                return _print(code, failures.as_json(failures.Unreachable(node)))
            seen.append(body)
        same, differ = [], {}
        for key in sorted(set(seen[0]) | set(seen[1])):
            if key in ("node", "ageMs", "router", "depot", "watches", "live", "https"):
                continue
            if seen[0].get(key) == seen[1].get(key):
                same.append(key)
            else:
                differ[key] = [seen[0].get(key), seen[1].get(key)]
        return _print(
            200,
            {
                "nodes": [s["node"] for s in seen],
                "same": same,
                "differ": differ,
                "ageMs": [s["ageMs"] for s in seen],
            },
        )


COMMANDS = (Layout, Render, Evacuate, Restore, Engines, Zones, Why, Tenants, Fleet, Compare)
