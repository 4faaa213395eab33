"""Requests that wait for a model: they are served, or rejected at once with a reason."""

import dataclasses

from configuration import registry
from placement import dropped_items, engine_reports, engine_view, ledger, orders, state
from replication import shard_log
from simulation import deployments
from simulation.sim import floor, run
from simulation.sim import world as worlds
from testtools import TestCase
from testtools.matchers import Equals, LessThan
from transport import failures


class WaitingRequests(TestCase):
    def ask(self, deployment, model, seed=5, count=1):
        """Request a model in a settled simulation; the requests as they ended."""
        made = run._build(seed, deployment, True)
        made.furnish()
        worlds.spin(made.world, 25000)
        for number in range(count):
            host = made.world.hosts[f"c{number % deployment.counters}"]
            name = model if isinstance(model, str) else model[number]
            told = {**made.told(name, "reroute", True), "id": f"w{number}"}
            floor.caller(made.world, made.history, host, told)
        worlds.spin(made.world, 45000)
        self.assertThat(len(made.history.ended), Equals(count))
        holds = [h for x in made.world.hosts["c0"].node.cluster.ledgers.values() for h in x.holds]
        self.assertThat(holds, Equals([]), "no request is left waiting")
        return made.history.ended

    def test_served_once_loaded(self):
        for task in self.ask(deployments.SMALL, "m05", count=6):
            self.assertIsInstance(task["outcome"], dict)
            self.assertThat(task["endMs"] - task["atMs"], LessThan(4000))

    def test_rejected_at_once_without_room(self):
        tight = dataclasses.replace(deployments.SMALL, roomMb=40)
        for task in self.ask(tight, "m05", count=4):
            self.assertThat(task["outcome"], Equals(failures.NoRoom(9600, "m05", "no-room")))
            self.assertThat(task["endMs"] - task["atMs"], LessThan(2000))

    def test_rejected_at_once_if_no_loads_are_allowed(self):
        shut = dataclasses.replace(deployments.SMALL, loads=(0, 0))
        (task,) = self.ask(shut, "m05")
        self.assertThat(task["outcome"].cause, Equals("no-loads"))
        self.assertThat(task["endMs"] - task["atMs"], LessThan(2000))

    def test_rejected_at_once_if_many_loads_come_first(self):
        """The weight store allows a load every ten seconds: the first requests are served, the
        others rejected at once with the time of their turn."""
        slow = dataclasses.replace(deployments.BYGGESAG, loads=(1, 6))
        ended = self.ask(slow, [f"m{n}" for n in range(28, 35)], count=7)
        told = [t for t in ended if isinstance(t["outcome"], failures.NoRoom)]
        self.assertTrue(any(isinstance(t["outcome"], dict) for t in ended))
        self.assertTrue(len(told) > 3)
        for task in told:
            self.assertThat(task["outcome"].cause, Equals("loads-queue"))
            self.assertThat(task["endMs"] - task["atMs"], LessThan(2000))
            self.assertTrue(task["outcome"].retryMs > 9000)

    def test_rare_models_requested_together_are_all_loaded(self):
        """Room for one of two: a rejected request is retried as told, and gets its turn."""
        tight = dataclasses.replace(deployments.SMALL, roomMb=80, models=9)
        for seed in (7, 8):
            made = run._build(seed, tight, True)
            made.furnish()
            worlds.spin(made.world, 25000)
            served, rejected = set(), set()

            def ask(model, number):
                told = {
                    **made.told(model, "reroute", True),
                    "id": f"{model}.{number}",
                    "deadlineMs": 30000,
                }
                floor.caller(
                    made.world,
                    made.history,
                    made.world.hosts["c0"],
                    told,
                    lambda task: ended(task, model, number),
                )

            def ended(task, model, number):
                outcome = task["outcome"]
                if isinstance(outcome, dict):
                    served.add(model)
                elif number < 12:
                    rejected.add(model)
                    worlds.after(made.world, outcome.retryMs, lambda: ask(model, number + 1))

            for model in ("m07", "m08"):
                ask(model, 0)
            worlds.spin(made.world, 90000)
            self.assertThat(served, Equals({"m07", "m08"}))
            self.assertThat(len(rejected), Equals(1), "only one had room at first")


class WeightStore(TestCase):
    def test_an_order_in_flight_to_a_new_incarnation_still_counts(self):
        """The engine restarts; an order for its old incarnation reaches the new one just after the
        first report of the latter."""
        reg = registry.Registry(
            engines={"e0": {"name": "e0", "service": "g", "roomMb": 10, "adapterPlaces": 0}}
        )
        p = state.Placer(1, 1, shard_log.ShardLog(1, 1, ready=True), not_before_ms=0.0)
        told = {"incarnation": "old", "roomMb": 10, "adapterPlaces": 0, "items": {}}
        engine_reports.on_report(p, 1.0, "e0", told, 0.0, reg)
        state.append_record(p, ledger.order_record("e0", "m", "load", "1.1.1", 5, 0, "g"))
        engine_view.order_sent(p.engines["e0"], "1.1.1")
        engine_reports.on_report(p, 3.0, "e0", {**told, "incarnation": "new"}, 1.5, reg)
        self.assertThat(ledger.open_loads(p.ledger, "g"), Equals(1))
        engine_view.call_ended(p.engines["e0"], 4.0, "1.1.1")
        state.append_record(p, ledger.state_record("e0", "m", "1.1.1", "taken"))
        engine_reports.on_report(p, 6.0, "e0", {**told, "incarnation": "new"}, 5.0, reg)
        self.assertThat(ledger.open_loads(p.ledger, "g"), Equals(0))

    def test_a_removed_engines_load_still_counts_for_a_while(self):
        """Removed from the list while it loads: the weight store may still be serving it."""
        terms = state.PlacerSettings(
            call_timeout_ms=900.0, report_interval_ms=400.0, unreachable_ms=3000.0
        )
        p = state.Placer(1, 1, shard_log.ShardLog(1, 1, ready=True))
        state.append_record(p, ledger.found_record("e0", "i", {}, "g"))
        state.append_record(p, ledger.order_record("e0", "m", "load", "1.1.1", 5, 0, "g"))
        loads = {"atOnce": 1, "perMinute": 60}
        self.assertFalse(orders.store_allows(p, 0.0, "g", loads))
        dropped_items.drop_gone_engines(p, 0.0, registry.Registry(), terms)
        self.assertThat(p.ledger.engines, Equals({}))
        self.assertFalse(orders.store_allows(p, 2900.0, "g", loads))
        again = state.Placer(
            1, 2, shard_log.ShardLog(1, 2, ready=True), ledger=ledger.load(ledger.dump(p.ledger))
        )
        self.assertFalse(orders.store_allows(again, 9e6, "g", loads), "a takeover counts it")
        dropped_items.drop_gone_engines(p, 3100.0, registry.Registry(), terms)
        self.assertTrue(orders.store_allows(p, 3100.0, "g", loads))
