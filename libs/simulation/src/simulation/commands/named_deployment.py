"""Which deployment a command is for."""

from simulation import deployments

__all__ = ["deployment_of"]


def deployment_of(command):
    """The deployment that a command names; None, and said so, if there is no such one."""
    found = deployments.BY_NAME.get(command.argument("deployment"))
    if found is None:
        command.line_error("no such deployment: zatacka, byggesag or small")
    return found
