"""Engines that answer badly though they seem well, found by what callers get from them.

An engine may say that it is well, and hold what is asked for, and still fail, break off or
never answer what it is sent; what it says of itself settles nothing.  Routers see how their
attempts end and tell the holder of the engine's shard.  Once enough of them lately ended
badly, or all of them without an answer, the holder logs the engine as suspect: it gets no
work, and what it holds counts as missing.  After a while it is tried again; one that is
found so again soon is left out for twice as long.  No more than a part of a service's
engines is suspect at a time, so that a trouble that is not the engines' own shuts nobody
out.
"""

from placement import ledger as ledgers
from placement import registry_view
from placement.attempt_outcomes import Outcomes, Suspicion
from placement.state import append_record

__all__ = ["update_suspects", "record_outcomes"]

# So many bad ends, and at least this share of all ends that were told, make a suspect.
_MIN_FAILURES = 3.0
_MIN_FAILURE_RATIO = 0.3
# An engine that has answered fewer than this lately is silent, not merely overloaded.
_MIN_SUCCESSES = 0.5
# Of a service's engines, the share that may be suspect at a time.
_MAX_SUSPECT_RATIO = 1 / 3
_MAX_BACKOFF_FACTOR = 4


def record_outcomes(history, now_ms, told, fade_ms):
    """A router's word: {engine: (good, bad, late)}, how many attempts ended so."""
    for engine, (good, bad, late) in told.items():
        outcomes = history.outcomes.setdefault(engine, Outcomes(at_ms=now_ms))
        outcomes.add(now_ms, fade_ms, good, bad, late)


def update_suspects(placer, now_ms, registry, shards, settings):
    """Log who is suspect from now on, and who is tried again."""
    for name in registry_view.services_of(registry, placer.shard, shards):
        engines = [engine["name"] for engine in registry_view.engines_of(registry, name)]
        _clear_expired(placer, now_ms, engines, settings)
        _mark_suspects(placer, now_ms, engines, settings)
    _forget_removed(placer, registry)


def _clear_expired(placer, now_ms, engines, settings):
    """A holder that has just taken over doesn't know since when: it counts from now."""
    history = placer.outcome_history
    for engine in engines:
        if engine not in placer.ledger.suspects:
            continue
        known = history.suspicions.setdefault(
            engine, Suspicion(now_ms + settings.unreachable_ms, 1)
        )
        if now_ms >= known.until_ms:
            history.outcomes.pop(engine, None)
            append_record(placer, ledgers.cleared_record(engine))


def _mark_suspects(placer, now_ms, engines, settings):
    most = int(_MAX_SUSPECT_RATIO * len(engines))
    suspects = sum(engine in placer.ledger.suspects for engine in engines)
    for engine in engines:
        if suspects >= most:
            return
        if engine in placer.ledger.suspects or not _is_failing(
            placer.outcome_history, now_ms, engine, settings
        ):
            continue
        before = placer.outcome_history.suspicions.get(engine)
        again = before is not None and now_ms - before.until_ms < 4 * settings.unreachable_ms
        times = min(_MAX_BACKOFF_FACTOR, 2 * before.backoff_factor) if again else 1
        placer.outcome_history.suspicions[engine] = Suspicion(
            now_ms + times * settings.unreachable_ms, times
        )
        append_record(placer, ledgers.suspect_record(engine))
        suspects += 1


def _is_failing(history, now_ms, engine, settings):
    outcomes = history.outcomes.get(engine)
    if outcomes is None:
        return False
    outcomes.add(now_ms, settings.unreachable_ms)
    bad = outcomes.bad
    if outcomes.good < _MIN_SUCCESSES:
        bad += outcomes.unanswered
    return bad >= _MIN_FAILURES and bad >= _MIN_FAILURE_RATIO * (bad + outcomes.good)


def _forget_removed(placer, registry):
    history = placer.outcome_history
    for known in (history.outcomes, history.suspicions):
        for engine in [name for name in known if name not in registry.engines]:
            del known[engine]
    for engine in [name for name in placer.ledger.suspects if name not in registry.engines]:
        append_record(placer, ledgers.cleared_record(engine))
