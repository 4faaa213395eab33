"""Lookups in the current configuration, over the sections of all partners."""

__all__ = ["services", "models", "tenants", "requires_keys", "zone_names"]


def services(registry):
    """Every service by name, with its owner as `partner`."""
    return _owned(registry, "services")


def models(registry):
    """Every model by name, with its owner as `partner`."""
    return _owned(registry, "models")


def tenants(registry):
    """The facts of every tenant (see `document_facts`) by name; cached until the layout changes."""
    if "tenants" not in registry.memo:
        registry.memo["tenants"] = {
            name: facts
            for _, section in sorted(registry.sections.items())
            for name, facts in section.get("tenants", {}).items()
        }
    return registry.memo["tenants"]


def requires_keys(registry):
    """Whether requests need a tenant's API key.

    They do if the configuration has a list of tenants, even an empty one.
    """
    if tenants(registry):
        return True
    reader = registry.reader
    return reader is not None and reader.tenants in registry.document["parts"]


def _owned(registry, part):
    """The items of a part by name, each with its owner as `partner`.

    Cached until the layout changes, since every request and every placement plan needs them.
    """
    if part not in registry.memo:
        registry.memo[part] = {
            name: {**facts, "partner": partner}
            for partner, section in sorted(registry.sections.items())
            for name, facts in section[part].items()
        }
    return registry.memo[part]


def zone_names(registry):
    """The zones named in the settings and those in which there is an engine."""
    return set(registry.zonesKnown) | {e["zone"] for e in registry.engines.values()}
