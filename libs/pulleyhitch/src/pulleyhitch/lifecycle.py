"""Lifecycle of a process: start, serve, orderly stop.

`orderly_stop` has the steps between the signal to stop and the end of the process.
"""

import gc
import json
import os
import signal
import sys
import threading

from transport import failures

from pulleyhitch import orderly_stop
from pulleyhitch.gateway import Gateway, OperatorGateway
from pulleyhitch.process import CannotStart, Process
from pulleyhitch.server import Server
from pulleyhitch.status_endpoint import StatusEndpoint

__all__ = ["run", "report_failure"]


def report_failure(failure):
    """Print a failure to stderr as one line of JSON."""
    print(json.dumps(failures.as_json(failure)), file=sys.stderr, flush=True)


def _make_servers(process):
    """(name, server) of the product's own interface and of those set in the config's `doors`."""
    servers = [("http", Server(process))]
    for name, server_class in (
        ("callers", Gateway),
        ("operators", OperatorGateway),
        ("status", StatusEndpoint),
    ):
        if name in process.config.doors:
            servers.append((name, server_class(process)))
    return servers


def run(config, dialect=None, changed_seeds=None):
    """Run a node until SIGINT, SIGTERM or a failure, then exit the process.  Returns an exit
    code only if it can't start.  `changed_seeds()` is polled for seed addresses; it returns
    None if they are unchanged.  SIGHUP polls at once, SIGUSR1 dumps the log ring."""
    try:
        process = Process(config, dialect)
    except CannotStart as error:
        report_failure(error.failure)
        return 3
    try:
        servers = _make_servers(process)
    except OSError as error:
        report_failure(failures.AddressTaken(str(error.args[-1] if error.args else config.http)))
        return 3
    stop_requested, reload_requested = threading.Event(), threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_requested.set())
    signal.signal(signal.SIGHUP, lambda *_: reload_requested.set())
    signal.signal(signal.SIGUSR1, lambda *_: process.ring.log("asked", {}, dump_reason="asked"))
    _freeze_garbage_collector()
    process.start()
    for name, server in servers:
        threading.Thread(target=server.run, name=name, daemon=True).start()
    print(
        json.dumps(
            {"up": config.name, "role": config.role, "address": config.address, "http": config.http}
        ),
        flush=True,
    )
    if not config.tokens and dialect is None:
        report_failure(failures.NoTokens("operators are not authenticated; see [tokens]"))
    code = _wait(process, stop_requested, reload_requested, changed_seeds)
    if code == 0:
        orderly_stop.stop(process, dict(servers))
    else:
        orderly_stop.stop_failed(process, dict(servers))
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


def _freeze_garbage_collector():
    """Exempt the objects made so far, which live as long as the process, from garbage
    collection, and enable collection of new ones."""
    gc.freeze()
    gc.enable()


def _wait(process, stop_requested, reload_requested, changed_seeds):
    """Poll for seeds until a stop is requested or the process fails; returns the exit code."""
    polls = 0
    while not stop_requested.wait(0.1 if changed_seeds is None else 0.25):
        if process.stopped():
            return 4
        polls += 1
        if changed_seeds is not None and (reload_requested.is_set() or polls % 4 == 0):
            reload_requested.clear()
            seeds = changed_seeds()
            if seeds:
                process.notify("", "seeds", {"seeds": seeds})
    return 0
