"""Recent outcomes of this router's attempts by engine, and those not yet reported.

The placer uses them to find suspect engines.  Only engines with failures are reported, each with
its recent successes, so that an engine that fails one request in a hundred can be told from one
that fails all.
"""

from placement.attempt_outcomes import Outcomes

__all__ = ["record", "take_unreported"]

# Proofs by what they say about the engine; those that say nothing are omitted.
_GOOD = ("done",)
_BAD = ("failed", "unknown", "cut", "no-pipe")
_LATE = ("timed-out", "cut-late", "unanswered")
_FADE_MS = 4000.0


def record(router, now_ms, engine, proof):
    """Record the end of an attempt at an engine."""
    good, bad, late = proof in _GOOD, proof in _BAD, proof in _LATE
    if good or bad or late:
        outcomes = router.outcomes.setdefault(engine, Outcomes(at_ms=now_ms))
        outcomes.add(now_ms, _FADE_MS, good=good)
    if bad or late:
        counts = router.unreported_failures.get(engine, (0, 0))
        router.unreported_failures[engine] = counts[0] + bad, counts[1] + late


def take_unreported(router, now_ms, engines):
    """{engine: (successes, failures, late)} of the failures not yet reported.  Only `engines` are
    reported; the others are dropped."""
    report = {}
    for engine, (bad, late) in router.unreported_failures.items():
        if engine in engines:
            outcomes = router.outcomes[engine]
            outcomes.add(now_ms, _FADE_MS)
            report[engine] = (round(outcomes.good, 1), bad, late)
    router.unreported_failures = {}
    router.outcomes = {name: kept for name, kept in router.outcomes.items() if name in engines}
    return report
