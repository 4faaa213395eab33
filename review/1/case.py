"""A counter is stopped in order (SIGTERM) while requests wait there for their models.

Each model takes 3.9 s to load, and an engine carries out one order at a time, so a request whose
model comes second waits for more than eight seconds; its deadline and its route's timeout are
20 s.  The requests are sent whole to one counter, which then gets SIGTERM and has `graceS`.  With
TROUBLE=0 it gets no SIGTERM.  The rule is broken if a request that the counter has read ends
without a complete answer, before its deadline, and no engine has begun to work on it.
"""

import os
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins.client import Traffic, send_once
from standins.fleet import LIMITS, ZONES, Fleet, route, service

_FOLDER = pathlib.Path(__file__).resolve().parent
_MODELS = {f"model{n}": (72700.0, 3.9, 0, 66.0) for n in range(12)}
_ROOM_MB, _SLOTS = 220000.0, 48
_SERVICE, _PREFIX = "writers", "/itinerary/"
_DEADLINE_MS, _GRACE_S, _LOSS_SLACK_S = 20000, 8.0, 0.2
# Where the bounds of the deployment with these models differ from the stand-ins' defaults.
_BOUNDS = {
    "contactMs": 4000,
    "acknowledgeMs": 5000,
    "catchUpS": 6,
    "drainMs": 4000,
    "editionApplyMs": 2500,
    "stretchMaxMs": 6000,
    "recoveryS": 15,
    "passageMs": 200,
}
# Models that nothing holds; each is asked for once, so each engine gets about two loads.
_ASKED = ("model6", "model7", "model8", "model9")


def _route():
    return {
        **route("r-1", _PREFIX, [(_SERVICE, 1)]),
        "transitLimitMs": _DEADLINE_MS,
        "targetMs": 6000,
        "classOfMail": 1,
        "gapTargetMs": 300,
    }


def _configuration(edition):
    return {
        "edition": edition,
        "routes": [_route()],
        "services": [service(_SERVICE, _MODELS, _ROOM_MB, _SLOTS)],
        "limits": LIMITS,
    }


def _ask_all(fleet, counter):
    """Send each request on its own thread; returns the threads and the list of Tries."""
    tries, threads = [], []

    def one(model):
        tries.append(send_once(fleet, _PREFIX, model, _DEADLINE_MS, counter))

    for model in _ASKED:
        threads.append(threading.Thread(target=one, args=(model,), daemon=True))
        threads[-1].start()
    return threads, tries


def _is_lost(fleet, attempt):
    """Whether a request was read, and its connection ended early without a complete answer."""
    ran = any(try_id == attempt.id for e in fleet.engines for _, try_id, _ in e.ran)
    in_time = attempt.lasted_s < _DEADLINE_MS / 1000 - 0.5
    return not attempt.whole and not ran and in_time and attempt.lasted_s > _LOSS_SLACK_S


def _play(fleet, trouble):
    names = sorted(_MODELS)
    for n, zone in enumerate(ZONES[:2]):
        held = [f"model{3 * n + k}" for k in range(3)]
        fleet.add_engine(_SERVICE, zone, _MODELS, _ROOM_MB, _SLOTS, held)
    fleet.start_all()
    if fleet.change("PUT", _configuration(1), 0, 30.0) != 200 or not fleet.wait_ready():
        return 2
    traffic = [Traffic(fleet, _PREFIX, name, 0.5) for name in names[:2]]
    time.sleep(8.0)
    counter = fleet.counters[0]
    threads, tries = _ask_all(fleet, counter)
    time.sleep(0.1)
    if trouble:
        fleet.stop(counter, _GRACE_S)
    for thread in threads:
        thread.join(_DEADLINE_MS / 1000 + 5)
    for one in traffic:
        one.stop()
    lost = [attempt for attempt in tries if _is_lost(fleet, attempt)]
    for attempt in tries:
        fleet.record(f"{'LOST' if attempt in lost else 'ended'}: {attempt}")
    fleet.record(f"lost {len(lost)} of {len(tries)} requests")
    print(f"lost {len(lost)} of {len(tries)} requests")
    if len(tries) < len(_ASKED) or fleet.ended:
        return 2
    return 1 if lost else 0


def main():
    """Play the case; the exit code is 1 if the rule was broken, 2 if the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with Fleet(_FOLDER / "record.txt", **_BOUNDS) as fleet:
        return _play(fleet, trouble)


if __name__ == "__main__":
    sys.exit(main())
