"""The rehearsal's command line: `pulleyhitch-rehearsal`."""

import sys

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option

from rehearsal import deployments
from rehearsal.engine_process import EngineServer

__all__ = ["main"]


class EngineCommand(Command):
    name = "engine"
    description = "Run one stand-in engine."
    arguments = [argument("name", "Its name"), argument("port", "Its port"),
                 argument("deployment", "Whose sizes it has")]

    def handle(self):
        d = deployments.BY_NAME[self.argument("deployment")]
        name = self.argument("name")
        plain = name.startswith("p")
        EngineServer(name, int(self.argument("port")), 0 if plain else d.roomMb,
                     0 if plain else d.places, 64 if plain else d.slots, plain).run()
        return 0


class FleetCommand(Command):
    name = "fleet"
    description = "Start a whole fleet, furnish it, send traffic, and stop it."
    arguments = [argument("deployment", "zatacka, byggesag or small", optional=True,
                          default="small")]
    options = [option("folder", None, "Where data and logs go", flag=False,
                      default="run/fleet"),
               option("seconds", None, "How long to send traffic", flag=False, default="10"),
               option("stay", None, "Keep it up until interrupted", flag=True)]

    def handle(self):
        from rehearsal.show import show
        deployment = deployments.BY_NAME.get(self.argument("deployment"))
        if deployment is None:
            self.line_error("no such deployment: zatacka, byggesag or small")
            return 2
        return show(deployment, self.option("folder"), float(self.option("seconds")),
                    self.option("stay"))


def main():
    application = Application("pulleyhitch-rehearsal")
    application.add(EngineCommand())
    application.add(FleetCommand())
    sys.exit(application.run())


if __name__ == "__main__":
    main()
