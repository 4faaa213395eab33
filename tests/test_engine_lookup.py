"""`engines_with` finds the same engines as a search that checks each one in turn."""

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


def cluster_of(fleet, evacuated):
    cluster = cluster_state.ClusterState(SHARDS, ZONES)
    cluster.registry = registries.Registry(zones={zone: 1 for zone in evacuated})
    for name, told in fleet.items():
        ledger = cluster_state.ledger_of(cluster, registry_view.shard_of(told["service"], SHARDS))
        cluster.registry.engines[name] = {"name": name, **told}
        ledger.engines[name] = told["items"]
        if told["suspect"]:
            ledger.suspects[name] = True
    return cluster


def reference_search(cluster, service, item):
    """What `engines_with` must find, checking one engine after the other."""
    ledger, found = cluster_state.ledger_of(cluster, registry_view.shard_of(service, SHARDS)), []
    for name in sorted(cluster.registry.engines):
        engine = cluster.registry.engines[name]
        if engine["service"] != service or not registry_view.usable(cluster.registry, engine):
            continue
        if not item or ledgers.is_loaded(ledger, name, item):
            found.append(engine)
    healthy = [engine for engine in found if engine["name"] not in ledger.suspects]
    return found if not healthy and not item else healthy


@settings(max_examples=300, deadline=None, derandomize=True)
@given(fleets, st.sets(st.sampled_from(ZONES)), st.sampled_from(SERVICES))
def test_the_engines_found_are_those_of_the_reference_search(fleet, evacuated, service):
    cluster = cluster_of(fleet, evacuated)
    for item in ("", *ITEMS):
        assert cluster_state.engines_with(cluster, service, item) == reference_search(
            cluster, service, item
        )


@settings(max_examples=100, deadline=None, derandomize=True)
@given(fleets, st.sampled_from(SERVICES))
def test_a_services_engines_are_sorted_by_name(fleet, service):
    found = registry_view.engines_of(cluster_of(fleet, ()).registry, service)
    names = sorted(name for name, engine in fleet.items() if engine["service"] == service)
    assert [engine["name"] for engine in found] == names
