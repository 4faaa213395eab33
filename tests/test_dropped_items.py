"""A placer goes on whatever the configuration drops.

Guards against FAULT: a model in use left the configuration, or a service whose requests waited, and
the process that held the shard's lease ended by itself; the next holder met the same state.
"""

from types import SimpleNamespace

from changing_layouts import ChangingLayouts
from configuration import registry as registries
from placement import registry_view, state
from placement.cluster_state import ClusterState
from placement.placement import item_name
from pulleyhitch import shard_ownership
from replication.follower import FeedFollower
from replication.shard_log import ShardLog
from simulation.placing import SHARDS, TERMS
from test_demand_placement import DemandScenario
from testtools import TestCase
from testtools.matchers import Contains, Equals, Not
from transport.effects import DumpLog

SEEDS = 40
STEPS = 150
NOTHING = set(), set(), set()


class AnyOrderOfChanges(TestCase):
    def test_a_placer_goes_on(self):
        for seed in range(SEEDS):
            layouts = ChangingLayouts(seed)
            for number in range(STEPS):
                try:
                    layouts.step()
                except Exception as error:
                    raise AssertionError(f"seed {seed}, step {number}") from error


class DroppedModel(TestCase):
    def drop(self, scenario, model):
        """The next configuration no longer lists the model."""
        service = scenario.registry.document["parts"]["services"][scenario.name]
        engine = service["engine"]
        parcels = [parcel for parcel in engine["parcels"] if parcel["name"] != model]
        changed = {**service, "engine": {**engine, "parcels": parcels}}
        written = {"edition": 2, "upsert": {"services": [changed]}}
        body = {"expect": 1, "partial": True, "written": written}
        record, _, failure = registries.decide(scenario.registry, "written", body)
        self.assertThat(failure, Equals(None))
        registries.apply(scenario.registry, record)

    def test_a_model_in_use_leaves_the_configuration(self):
        """It is loaded on one engine, and its request rate asks for a second copy."""
        scenario = DemandScenario(1, engines=3)
        for _ in range(50):
            scenario.step()
        (model,) = scenario.scene.engines["e0"].items
        scenario.scene.command("wanted", {"items": {model: 100}})
        self.drop(scenario, model)
        for _ in range(50):
            scenario.step()
        loads = [item for e in scenario.scene.engines.values() for _, verb, item in e.orders]
        self.assertThat(loads, Not(Contains(model)))


class UnlistedCommands(TestCase):
    """Commands of a counter whose configuration differs from the lease holder's."""

    def hold(self, **fields):
        """The answer to a request that is to wait, by a placer that knows one service."""
        layouts = ChangingLayouts(1)
        service = layouts.names[0]
        facts = {"id": "h1", "service": service, "model": layouts.models_of[service][0]}
        facts |= {"adapter": "", "class": "rank1", "waitMs": 5000, "node": "c0", "life": "l"}
        layouts.scene.command("hold", {**facts, **fields})
        (reply,) = layouts.scene.told
        return reply.outcome

    # Guards against a depot that ended when it was asked to hold for a service that had just gone.
    def test_a_request_for_what_is_not_listed_is_told_to_come_again(self):
        self.assertThat(self.hold(), Equals({"id": "h1", "turn": 1}))
        for fields in ({"service": "gone"}, {"model": "gone"}, {"adapter": "gone"}):
            outcome = self.hold(**fields)
            self.assertThat((outcome.status, outcome.cause), Equals((503, "unlisted")))

    # Guards against a command that ends one holder of the lease after the other.
    def test_a_command_that_breaks_the_placer_is_refused(self):
        ownership = shard_ownership.ShardOwnership(SHARDS, ())
        ownership.owners[1] = state.Placer(1, 1, ShardLog(1, 1, ready=True))
        follower = FeedFollower(direct_ms=1e12)
        times = SimpleNamespace(revoke_ms=1000.0)
        cluster = ClusterState(SHARDS)
        effects = shard_ownership.command(
            ownership, 0.0, "t", 1, "hold", {"id": "h1"}, follower, cluster, times, TERMS
        )
        self.assertThat(effects[0].outcome.tag, Equals("core-broke"))
        self.assertThat(type(effects[-1]), Equals(DumpLog))


class Forgotten(TestCase):
    """What a placer keeps in memory, after any order of changes."""

    def assert_configured(self, layouts, where):
        placer, registry = layouts.scene.p, layouts.registry
        services = registry_view.services_of(registry, placer.shard, SHARDS)
        engines = {n for n, engine in registry.engines.items() if engine["service"] in services}
        demand, plan = placer.demand, placer.plan
        items = set(demand.unserved) | set(demand.reserved)
        items |= {item for items in demand.loaded_before.values() for item in items}
        items |= {item for _, item in (*demand.loaded_at_ms, *plan.refused_ms)}
        for hold in placer.ledger.holds.values():
            items |= {hold["model"], item_name(hold["model"], hold["adapter"])}
        unlisted = {item for item in items if not registry_view.is_listed(registry, item)}
        named = set(demand.pauseMs) | set(demand.loaded_before) | set(placer.engines)
        named |= {engine for engine, _ in (*demand.loaded_at_ms, *plan.refused_ms)}
        judged = set(placer.outcome_history.outcomes) | set(placer.ledger.suspects)
        named |= judged - registry.engines.keys()
        held_for = {hold["service"] for hold in placer.ledger.holds.values()}
        kept = {*plan.plans, *plan.queues, *plan.load_ms, *held_for}
        kept |= {known.service for known in demand.unserved.values()}
        self.assertThat((unlisted, named - engines, kept - set(services)), Equals(NOTHING), where)

    # Guards against requests that wait for what nobody loads any more, and against memory that
    # grows with each change of the configuration.
    def test_nothing_is_kept_of_what_is_not_configured(self):
        for seed in range(SEEDS):
            layouts = ChangingLayouts(seed)
            for number in range(STEPS):
                layouts.step()
                layouts.scene.step()
                self.assert_configured(layouts, f"seed {seed}, step {number}")

    # Guards against LIMIT: a model grew, was dropped, and was charged by its size from before.
    def test_engines_are_never_loaded_beyond_their_room(self):
        for seed in range(2 * SEEDS):
            layouts = ChangingLayouts(seed)
            for _ in range(STEPS):
                layouts.step()
            broken = [b for engine in layouts.scene.engines.values() for b in engine.broken]
            self.assertThat(broken, Equals([]), f"seed {seed}")
