"""A whole fleet for a person to look at: start, furnish, traffic, stop."""

import random
import shutil
import threading
import time

from simulation.calling import read_stream
from simulation.fleet import Fleet

__all__ = ["show"]


def _caller(fleet, number, end_s, counts, lock):
    """One caller: mostly the first class of the deployment, now and then a lookup."""
    d, rng = fleet.deployment, random.Random(number)
    node = fleet.counters[number % len(fleet.counters)]
    while time.monotonic() < end_s:
        if rng.random() < 0.3:
            code, _ = fleet.call(node, "GET", f"/v1/lookup/{d.plain_service}/{rng.random()}")
            kind, good = "lookup", code == 200
        else:
            kind, _, stream, deadlineMs = rng.choices(d.classes, [c[1] for c in d.classes])[0]
            model = min(rng.randrange(d.models), rng.randrange(d.models))
            body = {
                "service": d.service,
                "model": f"m{model:02d}",
                "class": kind,
                "prompt": f"caller {number}",
                "stream": stream,
                "deadlineMs": deadlineMs,
            }
            if stream:
                good, _ = read_stream(fleet.http[node], body)
            else:
                good = fleet.call(node, "POST", "/v1/task", body)[0] == 200
        with lock:
            counts.setdefault(kind, [0, 0])[0 if good else 1] += 1


def show(deployment, folder, seconds, stay):
    shutil.rmtree(folder, ignore_errors=True)
    fleet = Fleet(deployment, folder)
    try:
        start_s = time.monotonic()
        fleet.start_all()
        fleet.until(lambda: fleet.call("c0", "GET", "/operator/fleet")[0] == 200)
        print(f"up after {time.monotonic() - start_s:.1f} s; nodes answer operators at:")
        for name in fleet.depots + fleet.counters:
            print(f"  {name}  {fleet.http[name]}  {fleet.zone(name)}")
        print("stamp in force:", fleet.furnish())
        counts, lock = {}, threading.Lock()
        end_s = time.monotonic() + seconds
        callers = [
            threading.Thread(target=_caller, args=(fleet, n, end_s, counts, lock))
            for n in range(2 * deployment.counters)
        ]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        for kind, (good, bad) in sorted(counts.items()):
            print(f"  {kind}: {good} answered, {bad} refused or cut")
        while stay:
            time.sleep(1)
    except KeyboardInterrupt:
        pass
    finally:
        fleet.stop_all()
    return 0
