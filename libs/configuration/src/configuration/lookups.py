"""What the configuration in force says, by name, of all partners together."""

__all__ = ["services", "models", "tenants", "requires_keys", "zone_names"]


def services(registry):
    """Every service by name, with its owner filled in."""
    return _owned(registry, "services")


def models(registry):
    """Every model by name, with its owner filled in."""
    return _owned(registry, "models")


def tenants(registry):
    """Every tenant's facts (`passages`) by name; made once for each layout."""
    if "tenants" not in registry.memo:
        registry.memo["tenants"] = {
            name: facts
            for _, section in sorted(registry.sections.items())
            for name, facts in section.get("tenants", {}).items()
        }
    return registry.memo["tenants"]


def requires_keys(registry):
    """Whether requests need a tenant's key: where the configuration in force lists tenants,
    though the list may be empty by now."""
    if tenants(registry):
        return True
    reader = registry.reader
    return reader is not None and reader.tenants in registry.document["parts"]


def _owned(registry, part):
    """Made once for each layout, since every task and every plan asks for it."""
    if part not in registry.memo:
        registry.memo[part] = {
            name: {**facts, "partner": partner}
            for partner, section in sorted(registry.sections.items())
            for name, facts in section[part].items()
        }
    return registry.memo[part]


def zone_names(registry):
    """The zones known by the settings or by an engine that stands there."""
    return set(registry.zonesKnown) | {e["zone"] for e in registry.engines.values()}
