"""Engines are looked through again only when the floor has changed, and the router
then knows what it would have known by looking each time."""

import dataclasses
import json

from configuration import registry as registries
from hypothesis import given, settings
from hypothesis import strategies as st
from placement import floor as floors
from placement import ledger as ledgers
from placement import world
from replication import state_machine
from replication.follower import News
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
    return world.shard_of(service, SHARDS), record


def gone_record(name, service):
    return world.shard_of(service, SHARDS), ledgers.dropped_record(name)


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
    """What a floor wants of a section that the log counted."""

    def __init__(self, shard, record):
        self.kind, self.shard, self.records = state_machine.RECORDS, shard, (record,)


def new_floor():
    floor = floors.Floor(SHARDS, ("z",))
    owner = {"wishes": {}, "routes": {}, "models": {}}
    of_services = {"plain": {}, "models": {"warmPerS": 5.0, "warmMs": 400.0}}
    floor.registry = registries.Registry(sections={"p": {**owner, "services": of_services}})
    return floor


def known(r):
    return r.ramp_starts, r.broken_at_ms, r.known_engines, r.cold_until_ms, r.cold_tokens


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(steps, max_size=25))
def test_the_router_knows_the_same_as_if_it_looked_each_time(taken):
    floor, crew = new_floor(), RoutingNodes("c", ("c",))
    sparing, looking = router.Router(TERMS), router.Router(TERMS)
    for number, (kind, told) in enumerate(taken):
        now_ms = 250.0 * number
        if kind == "news":
            sections = tuple(_Section(shard, record) for shard, record in told)
            floors.on_news(floor, None, News(sections))
        elif kind == "broke":
            choice.note_broken_attempt(sparing, now_ms, told)
            choice.note_broken_attempt(looking, now_ms, told)
        looking.seen_changes = -1
        router.retry_waiting(sparing, now_ms, floor, 0.0, crew)
        router.retry_waiting(looking, now_ms, floor, 0.0, crew)
        assert known(sparing) == known(looking)


# What the first of two pieces of news told was lost if the router looked after both only.
@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.tuples(ledger_records, st.booleans()), max_size=25))
def test_a_look_after_several_pieces_of_news_misses_none(taken):
    floor, crew = new_floor(), RoutingNodes("c", ("c",))
    sparing, looking = router.Router(TERMS), router.Router(TERMS)
    announced = tuple(_Section(*engine_record(name, "join", "models", 0)) for name in NAMES)
    floors.on_news(floor, None, News(announced))
    for number, (told, looks) in enumerate([(gone_record("e0", "models"), True), *taken]):
        floors.on_news(floor, None, News((_Section(*told),)))
        if looks:
            looking.seen_changes = -1
            router.retry_waiting(sparing, 250.0 * number, floor, 0.0, crew)
            untold = dataclasses.replace(floor, ledger_news=None)
            router.retry_waiting(looking, 250.0 * number, untold, 0.0, crew)
            assert known(sparing) == known(looking)
