"""A deliberately broken variant of the core, and the script that shows it."""

from dataclasses import dataclass, field

__all__ = ["Mutant"]


@dataclass(frozen=True)
class Mutant:
    """`steps(deployment)` is the script, `patches()` what is broken."""

    name: str
    checker: str
    steps: object
    patches: object
    seeds: tuple = (3, 8)
    more: dict = field(default_factory=dict)
    size: str = "small"
    change: dict = field(default_factory=dict)
