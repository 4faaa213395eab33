"""Joining a changed section with the others' and checking the whole.

A partial layout is a merge patch on the partner's own section: objects are
merged key by key, null removes a key, anything else replaces.  The result is
checked whole before it is taken; a partner's section may name the other's
services but only its own models, and shares may never add up to more than
there is.
"""

from transport.failures import FieldWrong

from configuration import document_facts, schema

__all__ = ["check_section", "merge_patch"]


def merge_patch(section, patch):
    """A new section: `patch` merged over `section`."""
    if not isinstance(patch, dict):
        return patch
    result = dict(section) if isinstance(section, dict) else {}
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        else:
            result[key] = merge_patch(result.get(key), value)
    return result


def check_section(sections, partner, section, zones):
    """Check `section` as `partner`'s among all `sections`.

    Returns (checked section, list of FieldWrong); `zones` are those known.
    """
    checked, wrong = schema.check(section)
    if wrong:
        return None, wrong
    merged = {**sections, partner: checked}
    services = {
        name: (owner, s)
        for owner, sec in sorted(merged.items())
        for name, s in sec["services"].items()
    }
    wrong = list(_clashes(sections, partner, checked))
    wrong += _shares(checked, merged)
    wrong += _weights(checked)
    wrong += _wishes(merged, services, partner, zones)
    wrong += _routes(merged, services, partner)
    return (None, wrong) if wrong else (checked, [])


def _clashes(sections, partner, checked):
    for other, section in sections.items():
        if other == partner:
            continue
        for part in ("services", "models"):
            for name in sorted(set(checked[part]) & set(section[part])):
                yield FieldWrong(f"{part}.{name}", f"already {other}'s")


def _shares(checked, merged):
    wrong = []
    for name, service in checked["services"].items():
        total = sum(service["shares"].values())
        if total > 1 + 1e-9:
            wrong.append(FieldWrong(f"services.{name}.shares", "more than 1 in all"))
        for partner in sorted(set(service["shares"]) - set(merged)):
            wrong.append(FieldWrong(f"services.{name}.shares.{partner}", "no such partner"))
    return wrong


def _weights(checked):
    wrong = []
    for key in ("atOnce", "perMinute"):
        given = sum(s["loads"][key] for s in checked["services"].values())
        if given > checked["weightStore"][key]:
            wrong.append(FieldWrong(f"weightStore.{key}", f"services are given {given} in all"))
    return wrong


def _target(section, services, at, want, needs_model, models):
    wrong = []
    if want["service"] not in services:
        return [FieldWrong(f"{at}.service", "no such service")]
    kind = services[want["service"]][1]["kind"]
    if kind == "plain":
        if want["model"]:
            wrong.append(FieldWrong(f"{at}.model", "a plain service holds no models"))
        return wrong
    if want["model"] not in models:
        if needs_model or want["model"]:
            wrong.append(FieldWrong(f"{at}.model", "not one of this partner's models"))
    elif want["adapter"] and want["adapter"] not in models[want["model"]]["adapters"]:
        wrong.append(FieldWrong(f"{at}.adapter", "no such adapter of that model"))
    return wrong


def _wishes(merged, services, partner, zones):
    """All wishes are checked, the other partners' too: a removed service or
    model that somebody still wishes for is refused."""
    wrong = []
    for owner, section in sorted(merged.items()):
        prefix = "wishes" if owner == partner else f"({owner}).wishes"
        for name, wish in section["wishes"].items():
            at = f"{prefix}.{name}"
            wrong += _target(section, services, at, wish, True, section["models"])
            if owner == partner and zones:
                wrong += [
                    FieldWrong(f"{at}.zones", f"unknown zone {zone}")
                    for zone in wish["zones"]
                    if zone not in zones
                ]
    return wrong


def _routes(merged, services, partner):
    wrong = []
    for owner, section in sorted(merged.items()):
        if owner == document_facts.OWNER:
            continue
        prefix = "routes" if owner == partner else f"({owner}).routes"
        for name, route in section["routes"].items():
            wrong += _target(section, services, f"{prefix}.{name}", route, False, section["models"])
    return wrong
