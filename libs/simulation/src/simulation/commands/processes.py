"""Commands that start real processes: one engine, a whole fleet, the trial of faults."""

import shutil

from cleo.commands.command import Command
from cleo.helpers import argument, option

from simulation import deployments
from simulation.commands.named_deployment import deployment_of
from simulation.engine_process import EngineServer

__all__ = ["EngineCommand", "FleetCommand", "TrialCommand"]


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

        deployment = deployment_of(self)
        if deployment is None:
            return 2
        return show(
            deployment, self.option("folder"), float(self.option("seconds")), self.option("stay")
        )


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

        deployment, steps = deployment_of(self), self.argument("steps") or list(trials.STEPS)
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
