"""Applies partial changes to a partner's section and checks it together with the others.

A partial change is a JSON merge patch of the partner's own section: objects are merged key by
key, null removes a key, anything else replaces the value.  The result is checked before it is
accepted: a section may name services of other partners but only its own models, and the shares
of a service may not add up to more than 1.
"""

from transport.failures import FieldWrong

from configuration import document_facts, schema

__all__ = ["check_section", "merge_patch"]


def merge_patch(section, patch):
    """`section` with the JSON merge patch `patch` applied; the original is not changed."""
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
    """Check `section` as the new section of `partner`, together with the other `sections`.

    Returns (section with defaults or None, list of FieldWrong); `zones` are the known zones.
    """
    checked, faults = schema.check(section)
    if faults:
        return None, faults
    merged = {**sections, partner: checked}
    services = {
        name: (owner, s)
        for owner, partner_section in sorted(merged.items())
        for name, s in partner_section["services"].items()
    }
    faults = list(_duplicate_names(sections, partner, checked))
    faults += _check_shares(checked, merged)
    faults += _check_load_limits(checked)
    faults += _check_wishes(merged, services, partner, zones)
    faults += _check_routes(merged, services, partner)
    return (None, faults) if faults else (checked, [])


def _duplicate_names(sections, partner, checked):
    """A FieldWrong for each service or model whose name another partner already uses."""
    for other, section in sections.items():
        if other == partner:
            continue
        for part in ("services", "models"):
            for name in sorted(set(checked[part]) & set(section[part])):
                yield FieldWrong(f"{part}.{name}", f"already {other}'s")


def _check_shares(checked, merged):
    faults = []
    for name, service in checked["services"].items():
        total = sum(service["shares"].values())
        if total > 1 + 1e-9:
            faults.append(FieldWrong(f"services.{name}.shares", "more than 1 in all"))
        for partner in sorted(set(service["shares"]) - set(merged)):
            faults.append(FieldWrong(f"services.{name}.shares.{partner}", "no such partner"))
    return faults


def _check_load_limits(checked):
    faults = []
    for key in ("atOnce", "perMinute"):
        total_loads = sum(s["loads"][key] for s in checked["services"].values())
        if total_loads > checked["weightStore"][key]:
            faults.append(
                FieldWrong(f"weightStore.{key}", f"services are given {total_loads} in all")
            )
    return faults


def _check_target(section, services, at, target, needs_model, models):
    """Check the service, model and adapter that `target` names, a wish or route at path `at`."""
    faults = []
    if target["service"] not in services:
        return [FieldWrong(f"{at}.service", "no such service")]
    kind = services[target["service"]][1]["kind"]
    if kind == "plain":
        if target["model"]:
            faults.append(FieldWrong(f"{at}.model", "a plain service holds no models"))
        return faults
    if target["model"] not in models:
        if needs_model or target["model"]:
            faults.append(FieldWrong(f"{at}.model", "not one of this partner's models"))
    elif target["adapter"] and target["adapter"] not in models[target["model"]]["adapters"]:
        faults.append(FieldWrong(f"{at}.adapter", "no such adapter of that model"))
    return faults


def _check_wishes(merged, services, partner, zones):
    """Check all partners' wishes, since a change may remove a service or model that another
    partner's wish names."""
    faults = []
    for owner, section in sorted(merged.items()):
        prefix = "wishes" if owner == partner else f"({owner}).wishes"
        for name, wish in section["wishes"].items():
            at = f"{prefix}.{name}"
            faults += _check_target(section, services, at, wish, True, section["models"])
            if owner == partner and zones:
                faults += [
                    FieldWrong(f"{at}.zones", f"unknown zone {zone}")
                    for zone in wish["zones"]
                    if zone not in zones
                ]
    return faults


def _check_routes(merged, services, partner):
    faults = []
    for owner, section in sorted(merged.items()):
        if owner == document_facts.OWNER:
            continue
        prefix = "routes" if owner == partner else f"({owner}).routes"
        for name, route in section["routes"].items():
            faults += _check_target(
                section, services, f"{prefix}.{name}", route, False, section["models"]
            )
    return faults
