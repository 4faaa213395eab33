"""A process's life: started, serving, and ended in order.

An orderly end goes in steps.  First it says that no callers should be sent here
and serves those that come meanwhile; then nobody is let in any more, and what was
let in gets its answer; grants and the lead are given away; then it is over.
"""

import gc
import json
import os
import signal
import sys
import threading
import time

from transport import failures

from pulleyhitch.gateway import Gateway, OperatorGateway, Status
from pulleyhitch.process import CannotStart, Process
from pulleyhitch.server import Server

__all__ = ["run", "say"]

_LET_IN = 0.3
_LAST = 0.85


def say(failure):
    """Tell a failure on the error stream, as one line of JSON."""
    print(json.dumps(failures.as_json(failure)), file=sys.stderr, flush=True)


def _doors(process):
    """What serves, besides the product's own interface, as the config has it."""
    found = [("http", Server(process))]
    for name, kind in (("callers", Gateway), ("operators", OperatorGateway), ("status", Status)):
        if name in process.config.doors:
            found.append((name, kind(process)))
    return found


def run(config, dialect=None, news=None):
    """Serve until told to stop; returns the exit code.  `news()` is asked now and
    then for seeds that have changed, or None."""
    try:
        process = Process(config, dialect)
    except CannotStart as failed:
        say(failed.failure)
        return 3
    try:
        doors = _doors(process)
    except OSError as failed:
        say(failures.AddressTaken(str(failed.args[-1] if failed.args else config.http)))
        return 3
    asked, look = threading.Event(), threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: asked.set())
    signal.signal(signal.SIGHUP, lambda *_: look.set())
    signal.signal(signal.SIGUSR1, lambda *_: process.ring.log("asked", {}, dump_reason="asked"))
    _settle_memory()
    process.start()
    for name, door in doors:
        threading.Thread(target=door.run, name=name, daemon=True).start()
    print(
        json.dumps(
            {"up": config.name, "role": config.role, "address": config.address, "http": config.http}
        ),
        flush=True,
    )
    if not config.tokens and dialect is None:
        say(failures.NoTokens("whoever says they are a partner is believed; see [tokens]"))
    code = _wait(process, asked, look, news)
    if code == 0:
        _leave(process, dict(doors))
    process.close()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


def _settle_memory():
    """All that was made so far lasts as long as the process: it is never looked
    through for garbage again, and what comes from now on is."""
    gc.freeze()
    gc.enable()


def _wait(process, asked, look, news):
    turn = 0
    while not asked.wait(0.1 if news is None else 0.25):
        if process.stopped():
            return 4
        turn += 1
        if news is not None and (look.is_set() or turn % 4 == 0):
            look.clear()
            seeds = news()
            if seeds:
                process.tell("", "seeds", {"seeds": seeds})
    return 0


def _leave(process, doors):
    gateway, graceS = doors.get("callers"), process.config.bounds.graceMs / 1000
    if gateway is None or not graceS:
        return
    start_s = time.monotonic()
    process.tell("", "leave", {})
    time.sleep(_LET_IN * graceS)
    gateway.stop()
    while time.monotonic() - start_s < _LAST * graceS and not gateway.empty():
        time.sleep(0.02)
