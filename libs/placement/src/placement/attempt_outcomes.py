"""Decaying counts of how attempts at engines ended; `suspects` evaluates them."""

import math
from dataclasses import dataclass, field

__all__ = ["Outcomes", "Suspicion", "OutcomeHistory"]


@dataclass
class Outcomes:
    """Decaying counts of attempts at an engine; `unanswered`: given up without a response."""

    good: float = 0.0
    bad: float = 0.0
    unanswered: float = 0.0
    at_ms: float = 0.0

    def add(self, now_ms, fade_ms, good=0.0, bad=0.0, unanswered=0.0):
        """Decay the counts and add attempts that have just ended."""
        kept = math.exp(-max(0.0, now_ms - self.at_ms) / fade_ms)
        self.good = self.good * kept + good
        self.bad = self.bad * kept + bad
        self.unanswered = self.unanswered * kept + unanswered
        self.at_ms = now_ms


@dataclass
class Suspicion:
    """Until when a suspect engine gets no work; `backoff_factor`: that time as a multiple of the
    shortest one."""

    until_ms: float
    backoff_factor: int


@dataclass
class OutcomeHistory:
    """What a lease holder knows of engines' outcomes, and each engine's last suspicion."""

    outcomes: dict = field(default_factory=dict)
    suspicions: dict = field(default_factory=dict)
