"""Each never-item caused: a script that the code passes, and the same script
on a deliberately broken variant, where the checker must see the failure."""

from placement import registry_view
from pulleyhitch import shard_ownership
from simulation import deployments, mutants
from simulation.sim import checkers, faults, run
from testtools import TestCase
from testtools.matchers import Equals

SEEDS = (3, 8)


def step(at_ms, fault, target, for_ms=3000.0):
    return faults.Step(at_ms, fault, target, for_ms)


class Never(TestCase):
    """One test for each mutant of `simulation.mutants`, made below."""

    def caused(self, mutant):
        deployment = deployments.BY_NAME[mutant.size]
        for seed in mutant.seeds:
            found = mutants.simulate(mutant, deployment, seed)
            self.assertThat(found.violations, Equals({}), f"seed {seed}")
        for owner, name, value in mutant.patches():
            self.patch(owner, name, value)
        red = [
            seed
            for seed in mutant.seeds
            if mutant.checker in mutants.simulate(mutant, deployment, seed).violations
        ]
        self.assertTrue(red, f"{mutant.checker} saw nothing of: {mutant.name}")

    def test_every_checker_has_a_mutant(self):
        self.assertThat({m.checker for m in mutants.MUTANTS}, Equals(set(checkers.ALL)))

    def test_a_fencing_engine_refuses_the_old_owner(self):
        """A holder that never doubts its grant freezes: the late order is sent, and
        the engine's fence is what stops it."""
        self.patch(shard_ownership, "lease_end", lambda f, t: float("inf"))
        shard, fenced = str(registry_view.shard_of("guidance", 8)), 0
        for seed in SEEDS:
            found = run.simulate(
                seed,
                deployments.SMALL,
                span_ms=20000.0,
                steps=[
                    step(1000, "freeze-ordering", shard, 7000),
                    step(1100, "engine-restart", "e0", 200),
                    step(1100, "engine-restart", "e1", 200),
                ],
                fencing=True,
            )
            fenced += found.facts["fenced"]
            for _, facts in found.violations.get("one-owner", ()):
                self.assertFalse(facts["obeyed"], facts)
        self.assertTrue(fenced > 0)


class Deaf(TestCase):
    def test_a_holder_that_hears_nothing_is_followed(self):
        """Every counter in turn goes deaf, and goes on speaking: whoever holds the
        layout, changes are acknowledged again before it hears."""
        for deaf in ("c0", "c1", "c2"):
            made = run.simulate(
                3,
                deployments.SMALL,
                span_ms=30000.0,
                steps=[step(2000, "deaf", deaf, 20000)]
                + [step(3000 + 500 * i, "race", "") for i in range(4)],
            )
            self.assertThat(made.violations, Equals({}))
            self.assertTrue(30000 < made.facts["firstAckMs"] < 30000 + 2000 + 8000, deaf)


def _make(mutant):
    def test(self):
        self.caused(mutant)

    return test


for _mutant in mutants.MUTANTS:
    setattr(Never, "test_" + _mutant.name.replace(" ", "_").replace(",", ""), _make(_mutant))


class Scripts(TestCase):
    def test_impossible_scripts_are_typed(self):
        for bad, field in (
            (step(1, "meteor", "c0"), "script.0.fault"),
            (step(1, "engine-dark", "e9"), "script.0.target"),
            (step(-1, "kill-depot", "d0"), "script.0.atMs"),
        ):
            found = run.simulate(1, deployments.SMALL, steps=[bad])
            self.assertThat(found.field, Equals(field))

    def test_same_seed_same_run(self):
        first, again = (
            run.simulate(5, deployments.SMALL, count=6, span_ms=15000.0) for _ in range(2)
        )
        self.assertThat(first, Equals(again))
