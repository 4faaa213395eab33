"""Lifecycle of a process: start, serve, orderly stop.

`orderly_stop` has the steps between the signal to stop and the end of the process.
"""

import functools
import gc
import os
import threading
import time
import traceback

from transport import failures

from pulleyhitch import orderly_stop, process_memory
from pulleyhitch.gateway import Gateway, OperatorGateway
from pulleyhitch.lifecycle_log import (
    EXIT_CANNOT_START,
    EXIT_FAILURE,
    EXIT_ORDERLY,
    LifecycleLog,
    report_failure,
)
from pulleyhitch.process import Process
from pulleyhitch.server import Server
from pulleyhitch.signals import Request, Signals
from pulleyhitch.startup import CannotStart, StartRetry, StopRequested, cannot_listen
from pulleyhitch.status_endpoint import StatusEndpoint

__all__ = ["run"]

# How often a failure of the process and a change of its settings are looked for.
_STOPPED_POLL_S = 0.25
_SEEDS_POLL_S = 1.0


def _make_servers(process, retry):
    """(name, server) of the product's own interface and of those set in the config's `doors`.  The
    last one serves callers, so that none of them connects while the others are awaited."""
    addresses = {"http": process.config.http, **process.config.doors}
    servers = []
    for name, server_class in (
        ("http", Server),
        ("operators", OperatorGateway),
        ("status", StatusEndpoint),
        ("callers", Gateway),
    ):
        if name in addresses:
            listen = functools.partial(_listen, server_class, process, addresses[name])
            servers.append((name, retry(listen)))
    return servers


def _listen(server_class, process, address):
    """A server that listens at the address; raises CannotStart."""
    try:
        return server_class(process)
    except OSError as error:
        raise cannot_listen(address, error) from error


def run(config, dialect=None, changed_seeds=None, start_s=None):
    """Run a node until SIGINT, SIGTERM or a failure, then exit the process.  Returns an exit
    code only if it can't start.  `changed_seeds()` is polled for seed addresses; it returns
    None if they are unchanged.  SIGHUP polls at once, SIGUSR1 dumps the log ring.  `start_s`:
    monotonic time of the process's start in seconds, by default now."""
    log = LifecycleLog(time.monotonic() if start_s is None else start_s, config.name)
    process_memory.configure()
    signals = Signals().install()
    retry = StartRetry(config, signals)
    try:
        process = Process(config, dialect, retry)
        servers = _make_servers(process, retry)
    except StopRequested:
        log.stopped(signals.stop_signal)
        return EXIT_ORDERLY
    except CannotStart as error:
        log.failed(EXIT_CANNOT_START, error.failure)
        return EXIT_CANNOT_START
    except Exception as error:
        traceback.print_exc()
        log.failed(EXIT_FAILURE, failures.CoreBroke("start", repr(error)))
        return EXIT_FAILURE
    _freeze_garbage_collector()
    process.start()
    for name, server in servers:
        threading.Thread(
            target=_serve, args=(process, name, server), name=name, daemon=True
        ).start()
    log.serving(config, process.previous_end)
    if not config.tokens and dialect is None:
        report_failure(failures.NoTokens("operators are not authenticated; see [tokens]"))
    code = _wait(process, signals, changed_seeds)
    if code == EXIT_ORDERLY:
        orderly_stop.stop(process, dict(servers))
        process.record_end(signals.stop_signal)
        log.stopped(signals.stop_signal)
    else:
        orderly_stop.stop_failed(process, dict(servers))
        process.record_end(process.failure.tag)
        log.failed(code, process.failure)
    os._exit(code)


def _serve(process, name, server):
    """Run a server; an error that ends it stops the process, which would not hear its callers."""
    try:
        server.run()
    except Exception as error:
        process.fail(failures.CoreBroke(f"listener {name}", repr(error)))
        raise


def _freeze_garbage_collector():
    """Exempt the objects made so far, which live as long as the process, from garbage
    collection, and enable collection of new ones."""
    gc.freeze()
    gc.enable()


def _wait(process, signals, changed_seeds):
    """Carry out what signals request, and poll for seeds, until a stop is requested or the process
    fails; returns the exit code."""
    poll_due_s = time.monotonic()
    memory = process_memory.MemoryWatch(process.config.memoryMb << 20, process.ring.log)
    while not process.stopped():
        request = signals.wait(_STOPPED_POLL_S)
        if request is Request.STOP:
            return EXIT_ORDERLY
        if request is Request.DUMP_LOG:
            process.ring.log("asked", {}, dump_reason="asked")
        if changed_seeds is not None and (
            request is Request.RELOAD or time.monotonic() >= poll_due_s
        ):
            poll_due_s = time.monotonic() + _SEEDS_POLL_S
            memory.check()
            seeds = changed_seeds()
            if seeds:
                process.notify("", "seeds", {"seeds": seeds})
    return EXIT_FAILURE
