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
        decay = math.exp(-max(0.0, now_ms - self.at_ms) / fade_ms)
        self.good = self.good * decay + good
        self.bad = self.bad * decay + bad
        self.unanswered = self.unanswered * decay + unanswered
        self.at_ms = now_ms


@dataclass
class Suspicion:
    """Until when a suspect engine gets no work; `backoff_factor`: that time as a multiple of the
    shortest one."""

    until_ms: float
    backoff_factor: int


@dataclass
class OutcomeHistory:
    """The outcomes of recent attempts, and the last suspicion, of each engine."""

    outcomes: dict = field(default_factory=dict)
    suspicions: dict = field(default_factory=dict)
