"""Engines are scanned again only when the cluster state has changed.  The router then knows the
same as if it scanned them each time.
"""

import dataclasses
import json

from configuration import registry as registries
from hypothesis import given, settings
from hypothesis import strategies as st
from placement import cluster_state, registry_view
from placement import ledger as ledgers
from replication import state_machine
from replication.follower import FeedUpdate
from routing import choice, router
from routing.choice import RoutingNodes

SHARDS = 4
SERVICES = ("plain", "models")
NAMES = ("e0", "e1", "e2")
ITEMS = ("m1", "m2")
TERMS = router.RoutingSettings(1000.0, 1000.0, 100.0, 0.1, 10000.0, 1000.0)


def engine_record(name, state, service, warm_ms):
    engine = {
        "name": name,
        "state": state,
        "service": service,
        "zone": "z",
        "url": f"http://{name}",
        "slots": 2,
        "roomMb": 0 if service == "plain" else 100,
        "adapterPlaces": 0,
        "warmMs": warm_ms,
    }
    return 0, json.dumps({"k": "engines", "stamp": 1, "engines": [engine]}).encode()


def zone_record(evacuated):
    told = {"k": "zone", "stamp": 1, "zone": "z", "evacuated": evacuated}
    return 0, json.dumps(told).encode()


def found_record(name, service, life, items):
    held = {item: {"state": "loaded", "mb": 1, "places": 0} for item in items}
    record = ledgers.found_record(name, life, held, service)
    return registry_view.shard_of(service, SHARDS), record


def gone_record(name, service):
    return registry_view.shard_of(service, SHARDS), ledgers.dropped_record(name)


names, services = st.sampled_from(NAMES), st.sampled_from(SERVICES)
records = st.one_of(
    st.builds(
        engine_record, names, st.sampled_from(("join", "leaving", "gone")), services, st.just(0)
    ),
    st.builds(engine_record, names, st.just("join"), services, st.sampled_from((0, 700))),
    st.builds(zone_record, st.booleans()),
    st.builds(
        found_record, names, services, st.sampled_from(("a", "b")), st.sets(st.sampled_from(ITEMS))
    ),
    st.builds(gone_record, names, services),
)
ledger_records = st.one_of(
    st.builds(
        found_record,
        names,
        st.just("models"),
        st.sampled_from(("a", "b")),
        st.sets(st.sampled_from(ITEMS), min_size=1),
    ),
    st.builds(gone_record, names, st.just("models")),
)
steps = st.one_of(
    st.tuples(st.just("news"), st.lists(records, min_size=1, max_size=3)),
    st.tuples(st.just("broke"), names),
    st.tuples(st.just("wake"), st.just(None)),
)


class _Section:
    """The parts of a committed log section that `ClusterState` reads."""

    def __init__(self, shard, record):
        self.kind, self.shard, self.records = state_machine.RECORDS, shard, (record,)


def new_cluster():
    cluster = cluster_state.ClusterState(SHARDS, ("z",))
    owner = {"wishes": {}, "routes": {}, "models": {}}
    of_services = {"plain": {}, "models": {"warmPerS": 5.0, "warmMs": 400.0}}
    cluster.registry = registries.Registry(sections={"p": {**owner, "services": of_services}})
    return cluster


def known(r):
    return r.ramp_starts, r.broken_at_ms, r.known_engines, r.cold_until_ms, r.cold_tokens


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(steps, max_size=25))
def test_the_router_knows_the_same_as_with_a_full_scan_each_time(steps_taken):
    cluster, crew = new_cluster(), RoutingNodes("c", ("c",))
    incremental, full_scan = router.Router(TERMS), router.Router(TERMS)
    for number, (kind, told) in enumerate(steps_taken):
        now_ms = 250.0 * number
        if kind == "news":
            sections = tuple(_Section(shard, record) for shard, record in told)
            cluster_state.apply_update(cluster, None, FeedUpdate(sections))
        elif kind == "broke":
            choice.note_broken_attempt(incremental, now_ms, told)
            choice.note_broken_attempt(full_scan, now_ms, told)
        full_scan.seen_changes = -1
        router.retry_waiting(incremental, now_ms, cluster, 0.0, crew)
        router.retry_waiting(full_scan, now_ms, cluster, 0.0, crew)
        assert known(incremental) == known(full_scan)


# Guards against losing the first of two updates if the router scans only after both.
@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.tuples(ledger_records, st.booleans()), max_size=25))
def test_a_scan_after_several_updates_misses_none(steps_taken):
    cluster, crew = new_cluster(), RoutingNodes("c", ("c",))
    incremental, full_scan = router.Router(TERMS), router.Router(TERMS)
    announced = tuple(_Section(*engine_record(name, "join", "models", 0)) for name in NAMES)
    cluster_state.apply_update(cluster, None, FeedUpdate(announced))
    for number, (told, looks) in enumerate([(gone_record("e0", "models"), True), *steps_taken]):
        cluster_state.apply_update(cluster, None, FeedUpdate((_Section(*told),)))
        if looks:
            full_scan.seen_changes = -1
            router.retry_waiting(incremental, 250.0 * number, cluster, 0.0, crew)
            untold = dataclasses.replace(cluster, ledger_change=None)
            router.retry_waiting(full_scan, 250.0 * number, untold, 0.0, crew)
            assert known(incremental) == known(full_scan)
