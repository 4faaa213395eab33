"""Commands that run the cores in virtual time and judge what they did."""

from cleo.commands.command import Command
from cleo.helpers import argument, option

from simulation import deployments
from simulation.commands.named_deployment import deployment_of

__all__ = ["ModelCommand", "MutantsCommand", "ReplayCommand", "SweepCommand"]


class SweepCommand(Command):
    name = "sweep"
    description = "Simulate many seeds under the brief's faults; exit 1 if any is red."
    arguments = [
        argument("deployment", "zatacka, byggesag or small", optional=True, default="small")
    ]
    options = [
        option("first", None, "First seed", flag=False, default="1"),
        option("last", None, "Last seed", flag=False, default="40"),
        option("faults", None, "Faults in each run", flag=False, default="12"),
        option("workers", None, "Processes", flag=False, default="8"),
    ]

    def handle(self):
        from simulation.sweep import sweep

        if deployment_of(self) is None:
            return 2
        first, last, faults, workers = (
            int(self.option(n)) for n in ("first", "last", "faults", "workers")
        )
        return 1 if sweep(self.argument("deployment"), first, last, faults, workers) else 0


class ReplayCommand(Command):
    name = "replay"
    description = "Run one seed of a sweep again, exactly, and print all of it."
    arguments = [argument("deployment", "Which"), argument("seed", "The seed")]
    options = [option("faults", None, "Faults in the run", flag=False, default="12")]

    def handle(self):
        from simulation.sweep import replay

        if deployment_of(self) is None:
            return 2
        return int(
            replay(
                self.argument("deployment"), int(self.argument("seed")), int(self.option("faults"))
            )
        )


class MutantsCommand(Command):
    name = "mutants"
    description = "Break the code in each known way; exit 1 if the proof misses one."
    arguments = [argument("sizes", "small, zatacka, byggesag", optional=True, multiple=True)]
    options = [option("workers", None, "Processes", flag=False, default="8")]

    def handle(self):
        from simulation.judging import judge

        sizes = self.argument("sizes") or sorted(deployments.BY_NAME)
        for name in sizes:
            if name not in deployments.BY_NAME:
                self.line_error("no such deployment: zatacka, byggesag or small")
                return 2
        return int(judge(sizes, int(self.option("workers"))) > 0)


class ModelCommand(Command):
    name = "model"
    description = "Check the replication core over every order of events; exit 1 if it breaks."
    options = [
        option("replicas", None, "How many, comma between", flag=False, default="3,4,5"),
        option("states", None, "States of each search", flag=False, default="20000"),
        option("depth", None, "Most steps of a search", flag=False, default="40"),
        option("walks", None, "Random walks", flag=False, default="400"),
        option("steps", None, "Steps of each walk", flag=False, default="1500"),
        option("seed", None, "Seed of the first walk", flag=False, default="1"),
        option("workers", None, "Processes", flag=False, default="8"),
        option("no-mutants", None, "Leave out the broken variants", flag=True),
    ]

    def handle(self):
        from simulation.model.report import Plan, report

        states, depth, walks, steps, seed, workers = (
            int(self.option(n)) for n in ("states", "depth", "walks", "steps", "seed", "workers")
        )
        replicas = tuple(int(n) for n in self.option("replicas").split(","))
        mutants = not self.option("no-mutants")
        plan = Plan(replicas, states, depth, walks, steps, seed, mutants)
        return int(report(plan, workers, self.line) > 0)
