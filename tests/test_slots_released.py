"""Engine slots are released however attempts end.  A reference model counts the attempts in flight
beside the router, and once all have ended, every loaded model is served.
"""

import random

from placement import ledger
from routing import router
from routing.tasks import Attempt, Done, KeepWaiting
from simulation.placing import engine_facts
from test_refusal_log import DEADLINE_MS, NODES, SETTINGS, Scene
from testtools.matchers import Equals
from transport import failures

SEEDS = range(60)
STEPS = 400
PROOFS = (
    "done",
    "failed",
    "not-run",
    "no-pipe",
    "unknown",
    "timed-out",
    "cut",
    "cut-late",
    "unanswered",
    "gone",
)
CALM_MS = 10_000.0


class Walk(Scene):
    """Requests, engines and changes in random order; `out`: token -> the engine of its attempt."""

    def start(self, seed):
        self.rng, self.out, self.told = random.Random(seed), {}, {}
        self.now_ms += 60_000.0
        self.floor.changes += 1
        self.holds("e1")

    def take(self, effects):
        """Track the outcomes of the router's effects."""
        for effect in effects:
            outcome = getattr(effect, "outcome", None)
            if isinstance(outcome, Attempt):
                self.out[effect.token] = outcome.engine
            elif isinstance(outcome, (Done, failures.Failure)):
                self.out.pop(effect.token, None)
                self.told.pop(effect.token, None)

    def comes(self):
        self.count += 1
        token, repeatable = f"t{self.count}", self.rng.random() < 0.5
        self.told[token] = True
        task = router.Task(
            token,
            token,
            self.service,
            self.model,
            "",
            "rank0",
            "",
            repeatable,
            True,
            self.now_ms + DEADLINE_MS,
            from_platform=True,
            rank=self.rng.randrange(4),
            max_attempts=self.rng.randrange(1, 4),
            patience_ms=4800.0,
        )
        self.take(router.begin(self.router, self.now_ms, self.floor, 0.0, NODES, task))

    def ends(self):
        """An attempt ends or gets no response, or the caller of a waiting request leaves."""
        if not self.told:
            return
        token = self.rng.choice(sorted(self.told))
        if token not in self.out:
            self.take(self.end(token, "gone"))
        elif self.rng.random() < 0.2:
            args = self.router, self.now_ms, self.floor, 0.0, NODES, token
            effects = router.attempt_silent(*args)
            if not (effects and isinstance(effects[0].outcome, KeepWaiting)):
                self.out.pop(token, None)
                self.take(effects)
        else:
            self.take(self.end(token, self.rng.choice(PROOFS)))

    def end(self, token, proof):
        self.out.pop(token, None)
        return router.ended(self.router, self.now_ms, self.floor, 0.0, NODES, token, proof)

    def passes(self):
        self.now_ms += self.rng.choice((1.0, 40.0, 500.0, 3000.0))
        self.take(router.tick(self.router, self.now_ms, self.floor))
        self.take(router.retry_waiting(self.router, self.now_ms, self.floor, 0.0, NODES))

    def changes(self):
        """An engine starts cold, is removed, is listed again, or becomes suspect or healthy."""
        name, engines = self.rng.choice(("e0", "e1")), self.floor.registry.engines
        what = self.rng.randrange(5)
        if what == 0:
            engines.pop(name, None)
        elif what < 3:
            engines[name] = {**engine_facts(name, self.service), "warmMs": what * 900}
            self.holds(name)
        elif what == 3:
            self.ledger.suspects[name] = True
        else:
            self.ledger.suspects.pop(name, None)
        self.floor.changes += 1

    def check(self, text):
        plain = {}
        for engine in self.out.values():
            plain[engine] = plain.get(engine, 0) + 1
        busy = {name: count for name, count in self.router.in_flight.items() if count}
        self.assertThat(busy, Equals(plain), text)


class SlotsReleased(Walk):
    # A slot that is never released makes a counter answer all-busy for ever.
    def test_busy_is_the_number_of_attempts_in_flight(self):
        for seed in SEEDS:
            self.reset(seed)
            steps = [self.comes] * 4 + [self.ends] * 4 + [self.passes] * 2 + [self.changes]
            for step in range(STEPS):
                self.rng.choice(steps)()
                self.check(f"seed {seed}, step {step}")
            self.calm(seed)

    def reset(self, seed):
        self.router = router.Router(SETTINGS)
        self.ledger.suspects.clear()
        self.start(seed)

    def calm(self, seed):
        """All attempts end and the engines are back: the next request is served at once."""
        for token in sorted(self.told):
            self.take(self.end(token, "gone"))
        self.check(f"seed {seed}, calm")
        self.ledger.suspects.clear()
        for name in ("e0", "e1"):
            self.floor.registry.engines[name] = engine_facts(name, self.service)
            self.holds(name)
        self.floor.changes += 1
        self.passes()
        self.now_ms += CALM_MS
        self.comes()
        self.assertThat(len(self.out), Equals(1), f"seed {seed}")
        self.assertThat(len(self.router.tasks), Equals(1), f"seed {seed}")
        self.assertThat(ledger.is_loaded(self.ledger, "e0", self.model), Equals(True))
