"""Operators against a cluster of real cores, by rules that hypothesis draws: whatever they
send and whatever fails meanwhile, what they are told is what one copy could have told.

A longer run: REGISTER_EXAMPLES=2000 pytest -n 4 tests/test_register_machine.py
"""

import os
import random
from types import SimpleNamespace

from adapter.dialect import DIALECT
from configuration import documents
from configuration import registry as registries
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)
from pulleyhitch import command_forwarding, introspection, operator_requests, shard_ownership
from pulleyhitch.command_forwarding import CommandResult
from replication import shard_log
from simulation import platform_made as made
from simulation.register.cluster import ZONES, Cluster
from simulation.register.operators import Operators
from testtools import TestCase
from transport import failures
from transport.effects import Reply

EXAMPLES = int(os.environ.get("REGISTER_EXAMPLES", "12"))
# A search ends with its first failure.  What hypothesis draws depends on which modules are loaded,
# so some sets of tests need more examples than others.
MUTANT_EXAMPLES = 240
MOST_UNDER_WAY = 8
# From the end of all trouble until everything sent must have been answered.
SETTLED_MS = 15000.0
ROLES = st.sampled_from(["leader", "holder", "other"])
SEEDS = st.integers(0, 2**32)


class Register(RuleBasedStateMachine):
    """One node at a time is in trouble, or all lose power; that is what three bear."""

    def __init__(self):
        super().__init__()
        self.trouble = ""

    @initialize(seed=SEEDS, loss=st.sampled_from([0.0, 0.2, 0.5]))
    def begin(self, seed, loss):
        self.cluster = Cluster(seed, DIALECT)
        self.operators = Operators(self.cluster, loss)
        self.sent = []
        self.cluster.spin(3000)
        self.send("PUT", made.configuration(random.Random(seed), 3, routes=1), 0)
        self.cluster.spin(3000)

    def send(self, method, told, expect, valid=True):
        if self.operators.open() < MOST_UNDER_WAY:
            self.operators.change(method, told, expect, valid)
            self.sent.append((method, told, expect, valid))

    @rule(ms=st.sampled_from([1, 5, 50, 300, 1000, 3000]))
    def pass_time(self, ms):
        self.cluster.spin(ms)

    @rule(seed=SEEDS, step=st.integers(1, 3), rivals=st.integers(1, 3))
    def whole(self, seed, step, rivals):
        """Operators who pick the same number for different configurations."""
        base, rng = self.operators.newest(), random.Random(seed)
        for _ in range(rivals):
            self.send("PUT", made.configuration(rng, base + step, routes=1), base)

    @rule(seed=SEEDS, step=st.integers(1, 3))
    def part(self, seed, step):
        base = self.operators.newest()
        service = made.plain_service(random.Random(seed), f"s{seed}")
        self.send(
            "PATCH", {"edition": base + step, "upsert": {"services": [service]}, "remove": {}}, base
        )

    @rule(seed=SEEDS, step=st.integers(1, 3), name=st.sampled_from(["a", "b", "c"]))
    def tenants(self, seed, step, name):
        """Operators who give tenants new keys, on a base that may name no tenants."""
        base = self.operators.newest()
        tenant = made.tenant(random.Random(seed), name)
        told = {"edition": base + step, "upsert": {"senders": [tenant]}, "remove": {}}
        self.send("PATCH", told, base)

    @rule(seed=SEEDS)
    def two_in_a_row(self, seed):
        """The second builds on the first, which isn't answered yet."""
        base, rng = self.operators.newest(), random.Random(seed)
        self.send("PUT", made.configuration(rng, base + 1, routes=1), base)
        self.send("PUT", made.configuration(rng, base + 2, routes=1), base + 1)

    @rule(number=st.integers(0, 1000))
    def again(self, number):
        """By another operator: as it was, whether it was taken or not."""
        self.send(*self.sent[number % len(self.sent)])

    @rule(seed=SEEDS)
    def invalid(self, seed):
        base = self.operators.newest()
        told = made.configuration(random.Random(seed), base + 1, routes=1)
        told["routes"][0]["transitLimitMs"] = 0
        self.send("PUT", told, base, valid=False)

    @rule(seed=SEEDS)
    def stale(self, seed):
        base = self.operators.newest()
        self.send("PUT", made.configuration(random.Random(seed), base + 1, routes=1), base - 1)

    @rule()
    def read(self):
        self.operators.read()

    @rule()
    def read_zones(self):
        self.operators.read_zones()

    @rule(zone=st.sampled_from(ZONES[:2]), evacuated=st.booleans())
    def zone(self, zone, evacuated):
        if self.operators.open() < MOST_UNDER_WAY:
            self.operators.zone(zone, evacuated)

    def named(self, role):
        found = {"leader": self.cluster.leader(), "holder": self.cluster.holder()}.get(role)
        return found or self.cluster.random.choice(self.cluster.names)

    @precondition(lambda self: not self.trouble)
    @rule(role=ROLES, seed=SEEDS, ms=st.sampled_from([0, 300, 3000]))
    def cut_off(self, role, seed, ms):
        """Operators reach it still, and at first no other."""
        name = self.trouble = self.named(role)
        self.cluster.cut_off(name)
        self.operators.reach = [name]
        self.whole(seed, 1, 1)
        self.cluster.spin(ms)

    @precondition(lambda self: self.trouble)
    @rule(ms=st.sampled_from([0, 300, 3000]))
    def reach_others(self, ms):
        self.operators.reach = [name for name in self.cluster.names if name != self.trouble]
        self.cluster.spin(ms)

    @precondition(lambda self: not self.trouble)
    @rule(role=ROLES, ms=st.sampled_from([300, 2000, 6000]))
    def hold_up(self, role, ms):
        """What a node sends to the others is long on its way, and arrives."""
        name = self.named(role)
        for other in self.cluster.names:
            if other != name:
                self.cluster.hold_up(name, other, ms)

    @precondition(lambda self: not self.trouble)
    @rule(role=ROLES, power=st.booleans(), wipe=st.booleans())
    def kill(self, role, power, wipe):
        name = self.trouble = self.named(role)
        self.cluster.kill(name, power)
        if wipe and name in self.cluster.depots:
            self.cluster.wipe(name)

    @precondition(lambda self: not self.trouble)
    @rule(role=ROLES, ms=st.sampled_from([200, 900, 2500, 7000]))
    def freeze(self, role, ms):
        name = self.trouble = self.named(role)
        self.cluster.freeze(name)
        self.cluster.spin(ms)

    @precondition(lambda self: not self.trouble)
    @rule()
    def all_lose_power(self):
        self.trouble = "all"
        for name in self.cluster.names:
            self.cluster.kill(name, power=True)

    @precondition(lambda self: self.trouble)
    @rule()
    def heal(self):
        self.cluster.heal()
        self.operators.reach = list(self.cluster.names)
        self.cluster.spin(8000)
        self.trouble = ""

    def teardown(self):
        if not hasattr(self, "cluster"):
            return
        self.cluster.heal()
        self.operators.reach, self.operators.loss = list(self.cluster.names), 0.0
        self.cluster.spin(SETTLED_MS)
        last = self.operators.read()
        self.operators.read_zones()
        self.cluster.spin(2000)
        assert self.operators.open() == 0, "not answered once all was well"
        assert last.outcome[0] >= self.operators.newest(), "what was confirmed is gone"
        verdict = self.operators.judge()
        assert verdict.linearizable, verdict


def run(seed_part, examples=EXAMPLES, phases=(Phase.explicit, Phase.generate)):
    """A fixed share of examples: each part draws others, and always the same."""

    class Part(Register):
        pass

    Part.__name__ = Part.__qualname__ = f"Register{seed_part}"
    run_state_machine_as_test(
        Part,
        settings=settings(
            max_examples=examples,
            stateful_step_count=30,
            derandomize=True,
            database=None,
            deadline=None,
            phases=phases,
            suppress_health_check=list(HealthCheck),
        ),
    )


class Operated(TestCase):
    def test_part_0(self):
        run(0)

    def test_part_1(self):
        run(1)

    def test_part_2(self):
        run(2)

    def test_part_3(self):
        run(3)

    def test_without_the_holder_s_clock(self):
        """No answer hangs on the lease: a holder that never doubts its own tells the same."""
        self.patch(shard_ownership, "lease_end", lambda follow, times: float("inf"))
        run(4)


class Mutants(TestCase):
    """Each way to go wrong is seen."""

    def seen(self):
        try:
            run(0, examples=MUTANT_EXAMPLES)
        except AssertionError:
            return True
        return False

    def test_reads_that_no_majority_confirmed(self):
        def read(node, now_ms, token, body):
            return [Reply(token, CommandResult(200, introspection.read(node, now_ms, body)))]

        self.patch(operator_requests, "_VERBS", {**operator_requests._VERBS, "read": read})
        self.assertTrue(self.seen())

    def test_answers_before_the_record_is_durable(self):
        """A yes, or a refusal, that a holder gives out of its own memory."""
        real = shard_log.append

        def append(log, record, then=None):
            position = real(log, record)
            if then is not None:
                early.append(then)
            return position

        def command(*args):
            effects = real_command(*args)
            told = [Reply(token, answer) for _, token, answer in early]
            early.clear()
            return effects + told

        early, real_command = [], shard_ownership.command
        self.patch(shard_log, "append", append)
        self.patch(shard_ownership, "command", command)
        self.assertTrue(self.seen())

    def test_changes_without_their_ids(self):
        real = registries.decide
        self.patch(
            registries,
            "decide",
            lambda registry, verb, body: real(registry, verb, {**body, "change": ""}),
        )
        self.assertTrue(self.seen())

    def test_two_on_one_edition(self):
        real = documents.evaluate_change

        def evaluate_change(reader, found, body):
            return real(reader, found, {**body, "expect": found["edition"]})

        self.patch(documents, "evaluate_change", evaluate_change)
        self.assertTrue(self.seen())

    def test_a_zone_s_order_refused_by_one_who_is_behind(self):
        """As it was: what the holder says to a node that is behind goes to the operator."""

        def operator_answer(verb, outcome):
            status, head, body = DIALECT.operator_response(verb, outcome)
            if verb == "zone" and "stamp-stale" in body:
                status = 412
            return status, head, body

        mutant = SimpleNamespace(
            reader=DIALECT.reader,
            read_operator_request=DIALECT.read_operator_request,
            operator_response=operator_answer,
        )
        self.patch(command_forwarding, "_is_stale_here", lambda pending, body: False)
        self.patch(Cluster, "http", _with_dialect(Cluster.http, mutant))
        self.assertTrue(self.seen())

    def test_a_failure_told_as_a_yes(self):
        real = command_forwarding._finish

        def finish(node, now_ms, pending, outcome):
            if isinstance(outcome, failures.NoHolder) and pending.verb == "written":
                outcome = CommandResult(200, {"stamp": 0})
            return real(node, now_ms, pending, outcome)

        self.patch(command_forwarding, "_finish", finish)
        self.assertTrue(self.seen())


def _with_dialect(http, dialect):
    def with_dialect(cluster, *args):
        cluster.world.dialect = dialect
        return http(cluster, *args)

    return with_dialect
