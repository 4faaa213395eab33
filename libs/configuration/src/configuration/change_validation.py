"""Validates operators' changes against the current registry, with one function per verb."""

from transport.failures import FieldWrong, LayoutWrong, NotFound, StampStale, WrongPartner

from configuration import document_facts, documents, engine_list, merging
from configuration.lookups import zone_names

__all__ = ["evaluate_change"]


def evaluate_change(registry, verb, body):
    """Return (record to log or None if nothing changes, None) or (None, failure)."""
    expected = body.get("expect")
    if expected is not None and (not isinstance(expected, int) or isinstance(expected, bool)):
        return None, FieldWrong("expect", "not a whole number")
    validate = {
        "layout": _layout,
        "zone": _zone,
        "engines": engine_list.evaluate_change,
        "written": _written,
    }.get(verb)
    if validate is None or (verb == "written" and registry.reader is None):
        return None, NotFound(verb)
    return validate(registry, body, expected)


def _written(registry, body, expected):
    difference, failure = documents.evaluate_change(
        registry.reader, registry.document, body, registry.checked
    )
    return (None, failure) if failure else ({"k": "written", **difference}, None)


def _layout(registry, body, expected):
    partner, section = body.get("partner"), body.get("section")
    if not isinstance(partner, str) or not partner:
        return None, FieldWrong("partner", "missing")
    if registry.reader is not None and partner == document_facts.OWNER:
        return None, FieldWrong("partner", "kept for the written configuration")
    actor = body.get("actor")
    if actor != partner:
        return None, WrongPartner(str(actor), partner)
    current = registry.stamps.get(partner, 0)
    if expected is not None and expected != current:
        return None, StampStale(expected, current)
    if body.get("partial"):
        section = merging.merge_patch(registry.sections.get(partner, {}), section)
    checked, faults = merging.check_section(
        registry.sections, partner, section, zone_names(registry)
    )
    if faults:
        return None, LayoutWrong(tuple(faults[:100]))
    return {"k": "layout", "partner": partner, "section": checked}, None


def _zone(registry, body, expected):
    zone, evacuated = body.get("zone"), body.get("evacuated")
    if not isinstance(evacuated, bool):
        return None, FieldWrong("evacuated", "not true or false")
    if not isinstance(zone, str) or zone not in zone_names(registry):
        return None, FieldWrong("zone", f"unknown zone {zone}")
    if (zone in registry.zones) == evacuated:
        return None, None
    if expected is not None and expected != registry.stamp:
        return None, StampStale(expected, registry.stamp)
    if body.get("since", registry.zoneStamps.get(zone, 0)) != registry.zoneStamps.get(zone, 0):
        return None, StampStale(body["since"], registry.zoneStamps.get(zone, 0))
    return {"k": "zone", "zone": zone, "evacuated": evacuated}, None
