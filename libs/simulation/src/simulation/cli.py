"""The rehearsal's command line: `pulleyhitch-simulation`."""

import shutil
import sys

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option

from simulation import deployments
from simulation.engine_process import EngineServer
from simulation.judge_command import JudgeCommand
from simulation.orders_command import OrdersCommand
from simulation.soak_command import SoakCommand

__all__ = ["main"]


class EngineCommand(Command):
    name = "engine"
    description = "Run one stand-in engine."
    arguments = [
        argument("name", "Its name"),
        argument("port", "Its port"),
        argument("deployment", "Whose sizes it has"),
    ]
    options = [
        option("piece-ms", None, "Time between pieces", flag=False, default="15"),
        option("history", None, "A file that keeps what reaches it", flag=False),
    ]

    def handle(self):
        d = deployments.BY_NAME[self.argument("deployment")]
        name = self.argument("name")
        plain = name.startswith("p")
        EngineServer(
            name,
            int(self.argument("port")),
            0 if plain else d.roomMb,
            0 if plain else d.places,
            64 if plain else d.slots,
            plain,
            resumes=name[1:] in ("0", "2", "4", "6", "8"),
            piece_ms=float(self.option("piece-ms")),
            history=self.option("history"),
        ).run()
        return 0


class FleetCommand(Command):
    name = "fleet"
    description = "Start a whole fleet, furnish it, send traffic, and stop it."
    arguments = [
        argument("deployment", "zatacka, byggesag or small", optional=True, default="small")
    ]
    options = [
        option("folder", None, "Where data and logs go", flag=False, default="run/fleet"),
        option("seconds", None, "How long to send traffic", flag=False, default="10"),
        option("stay", None, "Keep it up until interrupted", flag=True),
    ]

    def handle(self):
        from simulation.show import show

        deployment = deployments.BY_NAME.get(self.argument("deployment"))
        if deployment is None:
            self.line_error("no such deployment: zatacka, byggesag or small")
            return 2
        return show(
            deployment, self.option("folder"), float(self.option("seconds")), self.option("stay")
        )


def _deployment(command):
    found = deployments.BY_NAME.get(command.argument("deployment"))
    if found is None:
        command.line_error("no such deployment: zatacka, byggesag or small")
    return found


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

        if _deployment(self) is None:
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

        if _deployment(self) is None:
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


class TrialCommand(Command):
    name = "trial"
    description = "The brief's faults on real processes; exit 1 if a checker is red."
    arguments = [
        argument("deployment", "zatacka, byggesag or small"),
        argument("steps", "Which faults, in order; all by default", optional=True, multiple=True),
    ]
    options = [option("folder", None, "Where data and logs go", flag=False, default="run/trial")]

    def handle(self):
        from simulation import trials
        from simulation.fleet import Fleet

        deployment, steps = _deployment(self), self.argument("steps") or list(trials.STEPS)
        if deployment is None:
            return 2
        if set(steps) - set(trials.STEPS):
            self.line_error("no such step: " + ", ".join(trials.STEPS))
            return 2
        shutil.rmtree(self.option("folder"), ignore_errors=True)
        fleet = Fleet(deployment, self.option("folder"))
        try:
            fleet.start_all()
            fleet.until(lambda: fleet.call("c0", "GET", "/operator/fleet")[0] == 200)
            fleet.furnish()
            return int(bool(trials.run(fleet, steps)))
        finally:
            fleet.stop_all()


class MeasureCommand(Command):
    name = "measure"
    description = "Measure one thing: real processes, but for prefixes."
    arguments = [
        argument(
            "what", "batches, spread, leader-loss, window, comeback, crowd, prefixes or restart"
        )
    ]
    options = [
        option("runs", None, "How many", flag=False, default="5"),
        option("seconds", None, "Length of each (batches)", flag=False, default="5"),
        option(
            "deployment", None, "Which fleet (spread, leader-loss)", flag=False, default="small"
        ),
        option("folder", None, "Where data and logs go", flag=False, default="run/measure"),
    ]

    def handle(self):
        from simulation import crowding, measure
        from simulation.fleet import Fleet

        runs = int(self.option("runs"))
        if self.argument("what") == "prefixes":
            from simulation.prefixes import prefixes

            prefixes(self.option("deployment"), runs)
            return 0
        if self.argument("what") == "restart":
            from simulation import restart_cost

            shutil.rmtree(self.option("folder"), ignore_errors=True)
            restart_cost.measure(4000, 100 * runs, self.option("folder"))
            return 0
        if self.argument("what") == "batches":
            measure.batches(runs, float(self.option("seconds")))
            return 0
        rule = {
            "spread": measure.spread,
            "leader-loss": measure.leader_loss,
            "window": measure.window,
            "comeback": measure.comeback,
            "crowd": crowding.crowd,
        }.get(self.argument("what"))
        if rule is None:
            self.line_error("no such measurement: see --help")
            return 2
        shutil.rmtree(self.option("folder"), ignore_errors=True)
        fleet = Fleet(deployments.BY_NAME[self.option("deployment")], self.option("folder"))
        try:
            fleet.start_all()
            fleet.until(lambda: fleet.call("c0", "GET", "/operator/fleet")[0] == 200)
            fleet.furnish()
            rule(fleet, runs)
        finally:
            fleet.stop_all()
        return 0


class HollowCommand(Command):
    name = "hollow"
    description = "Real cores, many in one process, in virtual time: what each role costs."
    arguments = [
        argument(
            "runs", "Which runs; none: only the tables of those kept", optional=True, multiple=True
        )
    ]
    options = [
        option("all", None, "Every run there is (half an hour)", flag=True),
        option(
            "kept", None, "The file that keeps the runs", flag=False, default="docs/capacity.json"
        ),
        option("plot", None, "Where to draw the curves", flag=False),
    ]

    def handle(self):
        from simulation.hollow import plan, show

        known = [*plan.RUNS, *plan.CHECKS]
        names = known if self.option("all") else self.argument("runs")
        if set(names) - set(known):
            self.line_error("no such run: " + ", ".join(known))
            return 2
        return show.show(names, self.option("kept"), self.option("plot"), self.line)


def main():
    application = Application("pulleyhitch-simulation")
    application.add(EngineCommand())
    for command in (
        FleetCommand,
        SweepCommand,
        ReplayCommand,
        MutantsCommand,
        ModelCommand,
        OrdersCommand,
        TrialCommand,
        JudgeCommand,
        SoakCommand,
        MeasureCommand,
        HollowCommand,
    ):
        application.add(command())
    sys.exit(application.run())


if __name__ == "__main__":
    main()
