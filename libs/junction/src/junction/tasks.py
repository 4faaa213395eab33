"""A task on its way through a counter, and what the router says about it."""

from dataclasses import dataclass, field

from junction import choice

__all__ = ["Terms", "Task", "Leg", "Done", "Stay", "Hold", "Router"]


@dataclass(frozen=True)
class Terms:
    """In ms, ratios of the bounds in config; the rest are plain ratios."""

    staleMs: float
    rampMs: float
    pauseMs: float
    retryRatio: float
    retryWindowMs: float
    legMs: float
    waitingMax: int = 500
    retryAllowance: float = 1.0


@dataclass
class Task:
    token: str
    id: str
    service: str
    model: str
    adapter: str
    cls: str
    opening: str
    repeatable: bool
    stream: bool
    endMs: float
    legs: list = field(default_factory=list)
    waiting: bool = False
    giveUpMs: float = 0.0
    sinceMs: float = 0.0
    turn: int = 0
    lined: bool = False
    short: bool = False
    up: bool = False
    rank: int = 0
    aimMs: float = 0.0
    tries: int = 1 << 30
    mayHaveRun: bool = False
    sent: int = 0
    avoid: dict = field(default_factory=dict)
    told: bool = False
    tokens: tuple = ()


@dataclass(frozen=True)
class Leg:
    engine: str
    url: str
    timeoutMs: float
    rank: int = 0
    again: bool = False


@dataclass(frozen=True)
class Done:
    """The task is over, and nothing more to do."""


@dataclass(frozen=True)
class Stay:
    """There is nothing better than to wait for the leg that is out."""


@dataclass(frozen=True)
class Hold:
    """Ask the shard's holder for a place in line (or to give one back)."""

    verb: str
    shard: int
    body: dict


@dataclass
class Router:
    terms: Terms
    tasks: dict = field(default_factory=dict)
    busy: dict = field(default_factory=dict)
    firstMs: dict = field(default_factory=dict)
    brokeMs: dict = field(default_factory=dict)
    budget: choice.Budget = field(default_factory=choice.Budget)
    refused: int = 0
    served: int = 0
    retried: int = 0
    resumed: int = 0
    wanted: dict = field(default_factory=dict)
    seenEngines: dict = field(default_factory=dict)
    coldUntilMs: dict = field(default_factory=dict)
    coldTokens: dict = field(default_factory=dict)
    heardMs: dict = field(default_factory=dict)
