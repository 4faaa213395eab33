"""The lease holder of the registry answers whatever operators send, and goes on: a change that
crashed one holder would be sent to the next one, and crash them all."""

import random

from adapter import configuration
from adapter.dialect import DIALECT
from configuration import registry as registries
from hypothesis import given, settings
from hypothesis import strategies as st
from simulation import platform_made as made
from simulation.register.cluster import ZONES, Cluster
from testtools import TestCase
from testtools.matchers import Equals

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**20), 10**20)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.sampled_from(["", "zone-a", "p", "floor", "service", "x" * 200]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ["zone", "name", "service", "services", "routes", "models", "wishes", "shares", "x"]
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)
SECTIONS = st.fixed_dictionaries(
    {},
    optional={part: VALUES for part in ("services", "models", "wishes", "routes", "weightStore")},
)
COMMON = {"expect": VALUES, "since": VALUES, "partial": VALUES, "may_wait": VALUES}
BODIES = st.one_of(
    st.tuples(
        st.just("zone"),
        st.fixed_dictionaries(
            {"zone": VALUES, "evacuated": st.booleans() | VALUES}, optional=COMMON
        ),
    ),
    st.tuples(
        st.just("layout"),
        st.fixed_dictionaries(
            {"partner": st.just("p"), "actor": st.just("p"), "section": SECTIONS | VALUES},
            optional=COMMON,
        ),
    ),
    st.tuples(
        st.just("engines"),
        st.fixed_dictionaries({"engines": st.lists(VALUES, max_size=3) | VALUES}, optional=COMMON),
    ),
    st.tuples(
        st.just("written"),
        st.fixed_dictionaries(
            {
                "expect": st.just(1),
                "written": st.fixed_dictionaries(
                    {"edition": st.just(2)},
                    optional={
                        "routes": VALUES,
                        "services": VALUES,
                        "upsert": VALUES,
                        "remove": VALUES,
                    },
                ),
            },
            optional={"partial": VALUES},
        ),
    ),
)


def configured_registry(reader=configuration.READER):
    """A registry with a configuration in the platform's form in force."""
    registry = registries.Registry(reader=reader, zonesKnown=ZONES)
    whole = made.configuration(random.Random(3), 1, routes=2)
    record, _, failure = registries.decide(
        registry, "written", {"expect": 0, "written": whole, "partial": False}
    )
    assert failure is None, failure
    registries.apply(registry, record)
    return registry


class Validated(TestCase):
    def test_any_change_is_validated(self):
        registry = configured_registry()

        @settings(max_examples=600, derandomize=True, deadline=None, database=None)
        @given(BODIES)
        def validate(change):
            verb, body = change
            record, answer, failure = registries.decide(registry, verb, body)
            assert (answer is None) != (failure is None) or record is not None

        validate()

    def test_a_zone_that_is_not_a_string(self):
        for zone in ([], {}, [[]], 3, None):
            body = {"zone": zone, "evacuated": True}
            _, _, failure = registries.decide(configured_registry(), "zone", body)
            self.assertThat(failure.tag, Equals("field-wrong"))

    def test_a_layout_beside_a_written_configuration(self):
        section = {"services": {}, "models": {}, "wishes": {}, "routes": {}}
        for body, tag in (
            ({"partner": "p", "actor": "p", "section": section}, None),
            ({"partner": "floor", "actor": "floor", "section": section}, "field-wrong"),
        ):
            registry = configured_registry()
            before = registry.sections["floor"]
            record, _, failure = registries.decide(registry, "layout", body)
            self.assertThat(failure and failure.tag, Equals(tag))
            registries.apply(registry, record or b"")
            self.assertThat(registry.sections["floor"], Equals(before))


class HolderGoesOn(TestCase):
    def test_an_exception_in_validation_stops_no_holder(self):
        """If validation raises an exception, the operator gets a failure and the holder goes on."""
        cluster = Cluster(3, DIALECT)
        cluster.spin(4000)
        real = registries.decide

        def decide(registry, verb, body):
            if body.get("zone") == "zone-b":
                raise KeyError("broken")
            return real(registry, verb, body)

        self.patch(registries, "decide", decide)
        found, holder = [], cluster.holder()
        for zone in ("zone-b", "zone-a"):
            cluster.ask("d0", "zone", {"zone": zone, "evacuated": True}, found.append)
            cluster.spin(1000)
        self.assertThat([outcome.status for outcome in found], Equals([500, 200]))
        self.assertThat(cluster.holder(), Equals(holder))
        events = [event for _, event, _ in cluster.world.hosts[holder].notes]
        self.assertThat(events.count("not-judged"), Equals(1))

    def test_ids_in_bodies_are_ignored(self):
        """Two operators whose bodies have the same "id" each get their own answer."""
        cluster = Cluster(4, DIALECT)
        cluster.spin(4000)
        found = {}
        for zone in ("zone-a", "nowhere"):
            body = {"zone": zone, "evacuated": True, "id": "same"}
            cluster.ask(
                "d0", "zone", body, lambda outcome, zone=zone: found.update({zone: outcome})
            )
        body = {"zone": [], "evacuated": True, "id": []}
        cluster.ask("d0", "zone", body, lambda outcome: found.update({"none": outcome}))
        cluster.spin(1000)
        self.assertThat(found["zone-a"].status, Equals(200))
        self.assertThat(found["nowhere"].status, Equals(422))
        self.assertThat(len(found), Equals(3))
