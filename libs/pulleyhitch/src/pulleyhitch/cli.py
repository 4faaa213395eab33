"""The command line: roles to run, and what operators ask of any node."""

import sys

from cleo.application import Application

from pulleyhitch import VERSION
from pulleyhitch.operator_commands import COMMANDS as ASKING
from pulleyhitch.role_commands import COMMANDS as RUNNING

__all__ = ["main"]


def main():
    application = Application("pulleyhitch", VERSION)
    for command in RUNNING + ASKING:
        application.add(command())
    sys.exit(application.run())
