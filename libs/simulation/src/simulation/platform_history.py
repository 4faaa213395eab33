"""What a stand-in engine's reports tell: how things stood a fixed while ago.

Each change is kept with its time, so that a report doesn't depend on when the last one was
asked for.
"""

__all__ = ["begin", "changed", "parcels"]


def parcels(e):
    """What an engine holds, as its reports and the list of engines tell it."""
    return [
        {"name": m, "edition": 1, "inserts": sorted(a)} for m, a in sorted(dict(e.items).items())
    ]


def begin(e):
    """How things stood at its birth, before anything is done to it."""
    if not e.reports:
        e.reports.append((e.bornMs, _told(e)))


def changed(e, now_ms):
    """Things stand so from now on; what stood `lagMs` ago is kept, and all since."""
    e.reports.append((now_ms, _told(e)))
    old = [r for r in e.reports if r[0] <= now_ms - e.sizes.lagMs]
    e.reports = old[-1:] + [r for r in e.reports if r[0] > now_ms - e.sizes.lagMs]


def _told(e):
    """What a report tells, as it is now."""
    return {
        "leg": "both",
        "parcels": parcels(e),
        "busy": bool(e.order),
        "callSeq": e.callSeq,
        "queued": len(e.waiting),
        "inTransit": len(e.running),
        "cacheUsed": sum(a.tokens for a in e.running.values()),
        "cacheCapacity": e.sizes.cacheTokens,
        "handles": 0,
    }
