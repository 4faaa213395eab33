"""How this router's attempts at each engine ended lately, and what the holder isn't told yet.

Only engines with bad ends are told of, each with the good ends of the last while, so
that an engine that fails once in a hundred requests isn't taken for one that fails all.
"""

from placement.attempt_outcomes import Outcomes

__all__ = ["note", "take_untold"]

# Ends by proof; those that say nothing of the engine are missing.
_GOOD = ("done",)
_BAD = ("failed", "unknown", "cut", "no-pipe")
_LATE = ("timed-out", "cut-late", "unanswered")
_FADE_MS = 4000.0


def note(router, now_ms, engine, proof):
    """An attempt at an engine ended."""
    good, bad, late = proof in _GOOD, proof in _BAD, proof in _LATE
    if good or bad or late:
        outcomes = router.outcomes.setdefault(engine, Outcomes(at_ms=now_ms))
        outcomes.add(now_ms, _FADE_MS, good=good)
    if bad or late:
        known = router.untold_ends.get(engine, (0, 0))
        router.untold_ends[engine] = known[0] + bad, known[1] + late


def take_untold(router, now_ms, engines):
    """{engine: (good, bad, late)} of what hasn't been told; only of `engines`, the others
    are forgotten."""
    told = {}
    for engine, (bad, late) in router.untold_ends.items():
        if engine in engines:
            outcomes = router.outcomes[engine]
            outcomes.add(now_ms, _FADE_MS)
            told[engine] = (round(outcomes.good, 1), bad, late)
    router.untold_ends = {}
    router.outcomes = {name: kept for name, kept in router.outcomes.items() if name in engines}
    return told
