"""Validation of changes to the platform's engine list.

An entry names an engine and gives its state, service, zone, address and sizes.  `warmMs` is
how long a newly started engine remains slow after the entry is logged.
"""

from transport.failures import FieldWrong, StampStale

__all__ = ["evaluate_change"]

_ENGINE = {"name": str, "state": str, "service": str, "zone": str, "url": str}
_SIZES = {"roomMb": 0, "adapterPlaces": 0, "slots": 1, "warmMs": 0}
_STATES = ("join", "leaving", "gone")


def _check_engine(at, engine):
    if not isinstance(engine, dict):
        return FieldWrong(at, "not an object")
    for key in engine:
        if key not in _ENGINE and key not in _SIZES:
            return FieldWrong(f"{at}.{key}", "unknown key")
    for key, kind in _ENGINE.items():
        if not isinstance(engine.get(key), kind) or not engine[key]:
            return FieldWrong(f"{at}.{key}", "missing or not a text")
    for key, minimum in _SIZES.items():
        value = engine.get(key, minimum)
        if not isinstance(value, int) or isinstance(value, bool) or value < minimum:
            return FieldWrong(f"{at}.{key}", f"not a whole number from {minimum}")
    if engine["state"] not in _STATES:
        return FieldWrong(f"{at}.state", "not one of " + ", ".join(_STATES))
    if not engine["url"].startswith("http://"):
        return FieldWrong(f"{at}.url", "not an http address")
    return None


def evaluate_change(registry, body, expected):
    """Return (record to log or None if nothing changes, None) or (None, failure)."""
    engines = body.get("engines")
    if not isinstance(engines, list) or not engines or len(engines) > 2000:
        return None, FieldWrong("engines", "not a list of 1 to 2000 engines")
    changed = []
    for number, engine in enumerate(engines):
        fault = _check_engine(f"engines.{number}", engine)
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
