"""A floor that is warm already: engines hold what the layout wishes for, as
they do when only our own processes are new."""

from configuration import registry as registries
from placement import ledger as ledgers
from placement import placement, registry_view

from simulation import deployments

__all__ = ["up", "registry_of"]


def registry_of(run):
    registry = registries.Registry(zonesKnown=run.deployment.zones)
    for partner, section in deployments.sections(run.deployment, run.crowded):
        body = {"partner": partner, "actor": partner, "section": section}
        record, _, failure = registries.decide(registry, "layout", body)
        if failure:
            raise ValueError(failure)
        registries.apply(registry, record)
    return registry


def up(run):
    registry, name = registry_of(run), run.deployment.service
    held = [
        placement.Engine(f["name"], f["zone"], f["roomMb"], f["adapterPlaces"])
        for f in run.engine_facts.values()
        if f["service"] == name
    ]
    made = placement.place(
        held,
        registry_view.wishes_of(registry, name, ledgers.Ledger()),
        registry_view.shares_of(registries.services(registry)[name]),
        {},
    )
    for engine, targets in made.targets.items():
        core = run.world.engines[engine].core
        for item in targets:
            mb, places, _ = registry_view.item_size(registry, item)
            core.items[item], core.sizes[item] = "loaded", (mb, places)
