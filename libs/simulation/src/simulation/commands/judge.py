"""The command `judge`: real processes, callers' and engines' ledgers, and what differs."""

import dataclasses
import json

from cleo.commands.command import Command
from cleo.helpers import option

__all__ = ["JudgeCommand"]

_MUTANT_SECONDS = 14.0
_MUTANT_TRIES = 10_000


class JudgeCommand(Command):
    """Exit code 1 if a rule broke, or if a mutant isn't seen."""

    name = "judge"
    description = "Compare what callers sent with what engines ran, on real processes."
    options = [
        option("seed", None, "Of callers and faults", flag=False, default="1"),
        option("seconds", None, "How long callers send", flag=False, default="60"),
        option("tries", None, "How many tries at most", flag=False, default="20000"),
        option("callers", None, "How many at once", flag=False, default="12"),
        option("calm", None, "Without faults", flag=True),
        option("mutants", None, "Break the nodes in each known way instead", flag=True),
    ]

    def handle(self):
        return self._mutants() if self.option("mutants") else self._judge()

    def _judge(self):
        from simulation.judge.trial import Plan, judge

        plan = Plan(
            int(self.option("seed")),
            float(self.option("seconds")),
            int(self.option("tries")),
            int(self.option("callers")),
            faults=not self.option("calm"),
        )
        report = judge(plan)
        self.line(json.dumps(dataclasses.asdict(report), indent=1))
        return int(bool(report.broken))

    def _mutants(self):
        from simulation.judge.broken_node import MUTANTS
        from simulation.judge.trial import Plan, judge

        missed = 0
        for name, (rule, _) in MUTANTS.items():
            seed = int(self.option("seed"))
            plan = Plan(seed, _MUTANT_SECONDS, _MUTANT_TRIES, faults=False, mutant=name)
            seen = any(found["rule"] == rule for found in judge(plan).broken)
            self.line(f"{name}: {rule} {'seen' if seen else 'NOT SEEN'}")
            missed += not seen
        return int(missed > 0)
