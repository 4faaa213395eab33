"""Engines that may be given a service's work are found as by looking at each in turn."""

from configuration import registry as registries
from hypothesis import given, settings
from hypothesis import strategies as st
from placement import cluster_state, registry_view
from placement import ledger as ledgers

SHARDS = 4
SERVICES = ("plain", "models")
ZONES = ("north", "south")
ITEMS = ("m1", "m2", "m1/a1", "m2/a1")

entries = st.builds(
    lambda verb, state: {"verb": verb, "state": state},
    st.sampled_from(("load", "unload")),
    st.sampled_from(("intended", "taken", "loaded", "unknown")),
)
engines = st.fixed_dictionaries(
    {
        "service": st.sampled_from(SERVICES),
        "zone": st.sampled_from(ZONES),
        "state": st.sampled_from(("join", "leaving")),
        "items": st.dictionaries(st.sampled_from(ITEMS), entries),
        "suspect": st.booleans(),
    }
)
fleets = st.dictionaries(st.sampled_from([f"e{n}" for n in range(12)]), engines)


def floor_of(fleet, evacuated):
    floor = cluster_state.ClusterState(SHARDS, ZONES)
    floor.registry = registries.Registry(zones={zone: 1 for zone in evacuated})
    for name, told in fleet.items():
        ledger = cluster_state.ledger_of(floor, registry_view.shard_of(told["service"], SHARDS))
        floor.registry.engines[name] = {"name": name, **told}
        ledger.engines[name] = told["items"]
        if told["suspect"]:
            ledger.suspects[name] = True
    return floor


def plainly(floor, service, item):
    """What `engines_with` is to find, one engine after the other."""
    ledger, found = cluster_state.ledger_of(floor, registry_view.shard_of(service, SHARDS)), []
    for name in sorted(floor.registry.engines):
        engine = floor.registry.engines[name]
        if engine["service"] != service or not registry_view.usable(floor.registry, engine):
            continue
        if not item or ledgers.is_loaded(ledger, name, item):
            found.append(engine)
    sound = [engine for engine in found if engine["name"] not in ledger.suspects]
    return found if not sound and not item else sound


@settings(max_examples=300, deadline=None, derandomize=True)
@given(fleets, st.sets(st.sampled_from(ZONES)), st.sampled_from(SERVICES))
def test_the_engines_found_are_those_of_the_plain_search(fleet, evacuated, service):
    floor = floor_of(fleet, evacuated)
    for item in ("", *ITEMS):
        assert cluster_state.engines_with(floor, service, item) == plainly(floor, service, item)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(fleets, st.sampled_from(SERVICES))
def test_a_services_engines_come_in_the_order_of_their_names(fleet, service):
    found = registry_view.engines_of(floor_of(fleet, ()).registry, service)
    names = sorted(name for name, engine in fleet.items() if engine["service"] == service)
    assert [engine["name"] for engine in found] == names
