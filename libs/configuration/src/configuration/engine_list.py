"""Validation of changes to the platform's engine list.

An entry names an engine and gives its state, service, zone, address and sizes.  `warmMs` is
how long a newly started engine remains slow after the entry is logged.
"""

import re

from transport.failures import FieldWrong, StampStale

__all__ = ["entry_fault", "evaluate_change", "within_bounds"]

_ENGINE = {"name": str, "state": str, "service": str, "zone": str, "url": str}
_SIZES = {"roomMb": 0, "adapterPlaces": 0, "slots": 1, "warmMs": 0}
_STATES = ("join", "leaving", "gone")
# Every node computes with sizes as floating-point numbers and milliseconds.
_MAX_SIZE = 10**12
_MAX_TEXT_CHARS = 300
# Names stand in header lines of requests to engines.
_PRINTABLE = re.compile(r"[ -~]+")
_URL = re.compile(r"http://[!-~]+")


def entry_fault(at, engine):
    """The FieldWrong of an entry, named `at`; None if it is valid."""
    if not isinstance(engine, dict):
        return FieldWrong(at, "not an object")
    for key in engine:
        if key not in _ENGINE and key not in _SIZES:
            return FieldWrong(f"{at}.{key}", "unknown key")
    return _text_fault(at, engine) or _size_fault(at, engine)


def _text_fault(at, engine):
    for key, kind in _ENGINE.items():
        if not isinstance(engine.get(key), kind) or not engine[key]:
            return FieldWrong(f"{at}.{key}", "missing or not a text")
        if len(engine[key]) > _MAX_TEXT_CHARS:
            return FieldWrong(f"{at}.{key}", f"longer than {_MAX_TEXT_CHARS}")
    if engine["state"] not in _STATES:
        return FieldWrong(f"{at}.state", "not one of " + ", ".join(_STATES))
    if not _PRINTABLE.fullmatch(engine["name"]):
        return FieldWrong(f"{at}.name", "not printable ASCII")
    if not _URL.fullmatch(engine["url"]):
        return FieldWrong(f"{at}.url", "not an http address")
    return None


def _size_fault(at, engine):
    for key, minimum in _SIZES.items():
        value = engine.get(key, minimum)
        if not isinstance(value, int) or isinstance(value, bool) or value < minimum:
            return FieldWrong(f"{at}.{key}", f"not a whole number from {minimum}")
        if value > _MAX_SIZE:
            return FieldWrong(f"{at}.{key}", f"above {_MAX_SIZE}")
    return None


def within_bounds(engine):
    """A logged entry with its sizes within bounds: earlier versions logged any size."""
    return {key: min(value, _MAX_SIZE) if key in _SIZES else value for key, value in engine.items()}


def evaluate_change(registry, body, expected):
    """Return (record to log or None if nothing changes, None) or (None, failure)."""
    engines = body.get("engines")
    if not isinstance(engines, list) or not engines or len(engines) > 2000:
        return None, FieldWrong("engines", "not a list of 1 to 2000 engines")
    changed = []
    for number, engine in enumerate(engines):
        fault = entry_fault(f"engines.{number}", engine)
        if fault:
            return None, fault
        full = {**_SIZES, **engine}
        if not full["warmMs"]:
            del full["warmMs"]
        old = registry.engines.get(full["name"])
        if full["state"] == "gone" and old is None or full == old:
            continue
        changed.append(full)
    if not changed:
        return None, None
    if expected is not None and expected != registry.stamp:
        return None, StampStale(expected, registry.stamp)
    return {"k": "engines", "engines": changed}, None
