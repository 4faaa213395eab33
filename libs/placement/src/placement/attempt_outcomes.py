"""What is remembered of how attempts at engines ended; what follows is in `suspects`."""

import math
from dataclasses import dataclass, field

__all__ = ["Outcomes", "Suspicion", "OutcomeHistory"]


@dataclass
class Outcomes:
    """Ends of attempts at an engine; older ones fade.  `late`: given up without an answer."""

    good: float = 0.0
    bad: float = 0.0
    unanswered: float = 0.0
    at_ms: float = 0.0

    def add(self, now_ms, fade_ms, good=0.0, bad=0.0, unanswered=0.0):
        """Count ends that were seen just now."""
        kept = math.exp(-max(0.0, now_ms - self.at_ms) / fade_ms)
        self.good = self.good * kept + good
        self.bad = self.bad * kept + bad
        self.unanswered = self.unanswered * kept + unanswered
        self.at_ms = now_ms


@dataclass
class Suspicion:
    """Until when an engine is left out, and for how many times the shortest while."""

    until_ms: float
    backoff_factor: int


@dataclass
class OutcomeHistory:
    """What a holder remembers of engines' outcomes, and of how often each was suspect."""

    outcomes: dict = field(default_factory=dict)
    suspicions: dict = field(default_factory=dict)
