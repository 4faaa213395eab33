"""The simulated network: how long a message takes, and whether it arrives."""

from dataclasses import dataclass

__all__ = ["NetworkTerms", "latency", "reaches", "passes", "cut", "heal"]


@dataclass
class NetworkTerms:
    low_ms: float = 0.2
    high_ms: float = 3.0
    loss: float = 0.0


def latency(world):
    net = world.network
    spread_ms = net.high_ms - net.low_ms
    slow = 20 if world.random.random() < 0.01 else 1
    return slow * (net.low_ms + spread_ms * world.random.random() ** 2)


def reaches(world, sender, to):
    return (sender, to) not in world.cuts


def passes(world, sender, to):
    """Between our processes a pipe that breaks also loses messages; calls over
    HTTP either get through or are seen to break."""
    return reaches(world, sender, to) and (
        world.network.loss == 0 or world.random.random() >= world.network.loss
    )


def cut(world, sender, to):
    world.cuts.add((sender, to))


def heal(world):
    world.cuts.clear()
