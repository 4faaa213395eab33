"""Models in use are replaced by new ones in the configuration, one after another.

Three engines hold nine models, one copy each; each model gets five requests a second.  The
operator then replaces one model after another in the service's `parcels` by a new one of the same
size, and the clients ask for the new one as soon as the change is acknowledged.  With TROUBLE=0 the
operator sends as many changes, but of a route's time-out.  No process is stopped, frozen, slowed
or cut off.  The rule is broken if on two depots or more, which is half of the core, the processes
end by themselves three times.
"""

import os
import pathlib
import sys
import time
from collections import Counter

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins.client import Traffic
from standins.fleet import LIMITS, ZONES, Fleet, route, service

_FOLDER = pathlib.Path(__file__).resolve().parent
_SIZE = (72700.0, 0.6, 0, 66.0)
_OLD = [f"model{n}" for n in range(9)]
_ALL = {name: _SIZE for old in _OLD for name in (old, f"{old}-new")}
_ROOM_MB, _SLOTS, _PER_S = 220000.0, 32, 5.0
_WARM_UP_S, _PAUSE_S, _CHANGES = 14.0, 11.0, 7
_SERVICE, _PREFIX = "navigator", "/reroute/"
# From the rule: how often processes end on a machine, and on how many machines.
_ENDS, _MACHINES = 3, 2


def _configuration(edition):
    return {
        "edition": edition,
        "routes": [route("r-1", _PREFIX, [(_SERVICE, 1)])],
        "services": [service(_SERVICE, {name: _SIZE for name in _OLD}, _ROOM_MB, _SLOTS)],
        "limits": LIMITS,
    }


def _change(edition, models, trouble):
    if trouble:
        listed = {model: _SIZE for model in models}
        upsert = {"services": [service(_SERVICE, listed, _ROOM_MB, _SLOTS)]}
    else:
        changed = route("r-1", _PREFIX, [(_SERVICE, 1)])
        upsert = {"routes": [{**changed, "transitLimitMs": 5000 + edition}]}
    return {"edition": edition, "upsert": upsert, "remove": {}}


def _replace(fleet, traffic, models, number, trouble):
    """The change number `number` and, once it is acknowledged, the clients' move to the model."""
    old = _OLD[-1 - number]
    new = f"{old}-new"
    models[models.index(old)] = new
    status = fleet.change("PATCH", _change(2 + number, models, trouble), 1 + number, 10.0)
    fleet.record(f"change {2 + number}: {status}, {f'{old} becomes {new}' if trouble else ''}")
    if trouble:
        traffic[old].stop()
        traffic[new] = Traffic(fleet, _PREFIX, new, _PER_S)


def _play(fleet, trouble):
    for n, zone in enumerate(ZONES):
        fleet.add_engine(_SERVICE, zone, _ALL, _ROOM_MB, _SLOTS, _OLD[3 * n : 3 * n + 3])
    fleet.start_all()
    if fleet.change("PUT", _configuration(1), 0, 20.0) != 200 or not fleet.wait_ready(10.0):
        return 2
    traffic = {model: Traffic(fleet, _PREFIX, model, _PER_S) for model in _OLD}
    time.sleep(_WARM_UP_S)
    if fleet.ended:
        return 2
    models = list(_OLD)
    for number in range(_CHANGES):
        _replace(fleet, traffic, models, number, trouble)
        time.sleep(_PAUSE_S)
    for one in traffic.values():
        one.stop()
    answers = Counter(status for one in traffic.values() for status in one.statuses)
    fleet.record(f"answers by status: {dict(answers)}")
    ends = Counter(name for _, name, _ in fleet.ended)
    return 1 if sum(count >= _ENDS for count in ends.values()) >= _MACHINES else 0


def main():
    """Play the case; the exit code is 1 if the rule was broken, 2 if the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with Fleet(_FOLDER / "record.txt") as fleet:
        code = _play(fleet, trouble)
        ends = dict(Counter(f"{name} with exit code {end}" for _, name, end in fleet.ended))
        fleet.record(f"processes that ended by themselves: {ends or 'none'}; exit {code}")
        print(f"processes that ended by themselves: {ends or 'none'}")
    return code


if __name__ == "__main__":
    sys.exit(main())
