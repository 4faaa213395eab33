"""A copy that moves is loaded on its new engine before the old one unloads it, if room allows."""

import json

from configuration import registry
from placement import engine_view, ledger, orders, registry_view, state
from placement.engine_view import Report
from replication import shard_log
from testtools import TestCase
from testtools.matchers import Equals

TERMS = state.PlacerSettings(call_timeout_ms=900.0, report_interval_ms=400.0, unreachable_ms=3000.0)


class CopyMoves(TestCase):
    def setUp(self):
        super().setUp()
        self.reg = registry.Registry(zonesKnown=("x", "y"))
        self.p = state.Placer(1, 1, shard_log.ShardLog(1, 1, ready=True))

    def configure(self, roomMb, wishes):
        """Engine e0 in zone x and e1 in zone y; `wishes`: model -> zone."""
        self.decide(
            "engines",
            {
                "engines": [
                    {
                        "name": f"e{i}",
                        "state": "join",
                        "service": "g",
                        "zone": zone,
                        "url": "http://127.0.0.1:1",
                        "roomMb": mb,
                        "adapterPlaces": 0,
                        "slots": 4,
                    }
                    for i, (zone, mb) in enumerate(zip("xy", roomMb))
                ]
            },
        )
        self.decide(
            "layout",
            {
                "partner": "p",
                "actor": "p",
                "section": {
                    "services": {
                        "g": {
                            "kind": "models",
                            "shares": {"p": 1.0},
                            "loads": {"atOnce": 4, "perMinute": 600},
                        }
                    },
                    "weightStore": {"atOnce": 4, "perMinute": 600},
                    "models": {m: {"roomMb": 20} for m in "abc"},
                    "wishes": {
                        m: {"service": "g", "model": m, "copies": 1, "zones": [z]}
                        for m, z in wishes.items()
                    },
                },
            },
        )

    def decide(self, verb, body):
        record, _, failure = registry.decide(self.reg, verb, body)
        self.assertThat(failure, Equals(None))
        registry.apply(self.reg, record)

    def hold(self, engine, items):
        state.append_record(
            self.p,
            ledger.found_record(
                engine, "i", {i: {"state": "loaded", "mb": 20, "places": 0} for i in items}, "g"
            ),
        )
        room = self.reg.engines[engine]["roomMb"]
        engine_view.view_of(self.p, engine).report = Report("i", room, 0, {}, 0.0)

    def ordered(self):
        """Plan once; the orders given: (verb, engine, item)."""
        before = len(self.p.held.unacked)
        service = registry.services(self.reg)["g"]
        orders.plan(self.p, 0.0, self.reg, "g", service, TERMS)
        told = [json.loads(r) for r in self.p.held.unacked[before:]]
        return {(t["verb"], t["engine"], t["item"]) for t in told if t["k"] == "order"}

    def loaded(self, engine, item):
        entry = self.p.ledger.engines[engine][item]
        state.append_record(self.p, ledger.state_record(engine, item, entry["order"], "loaded"))

    def test_make_before_break(self):
        self.configure((20, 40), {"a": "y", "b": "y", "c": "x"})
        self.hold("e0", ["a"])
        self.hold("e1", ["b"])
        self.assertThat(self.ordered(), Equals({("load", "e1", "a")}))
        self.assertThat(self.ordered(), Equals(set()))
        self.loaded("e1", "a")
        self.assertThat(self.ordered(), Equals({("unload", "e0", "a")}))

    def test_without_room_for_both_the_old_copy_is_unloaded_first(self):
        self.configure((20, 20), {"a": "y", "b": "x"})
        self.hold("e0", ["a"])
        self.hold("e1", ["b"])
        self.assertThat(self.ordered(), Equals({("unload", "e0", "a"), ("unload", "e1", "b")}))

    def test_a_restored_zone_moves_nothing_back(self):
        self.configure((40, 40), {"a": "y", "b": "y"})
        self.decide(
            "layout",
            {
                "partner": "p",
                "actor": "p",
                "partial": True,
                "section": {"wishes": {m: {"zones": []} for m in "ab"}},
            },
        )
        self.hold("e0", [])
        self.hold("e1", ["a", "b"])
        self.assertThat(self.ordered(), Equals(set()))
        self.decide("zone", {"zone": "y", "evacuated": True})
        self.assertFalse(registry_view.usable(self.reg, self.reg.engines["e1"]))
        self.assertThat(self.ordered(), Equals({("load", "e0", "a"), ("load", "e0", "b")}))
        self.loaded("e0", "a")
        self.loaded("e0", "b")
        self.decide("zone", {"zone": "y", "evacuated": False})
        self.assertThat(self.ordered(), Equals(set()))
