"""The end of a process: every request that it has read is answered before it exits.

An orderly stop has these steps: the readiness probe fails, while new requests are still served; the
listeners stop accepting, and accepted requests are answered; leases, leadership and membership are
released; requests that are still open get a failure in place of a response; the process exits.
"""

import time

from pulleyhitch.stop_schedule import schedule_of

__all__ = ["stop", "stop_failed"]

_POLL_S = 0.02
# How long a failed process waits for engines' responses that are on their way to callers, and
# after that for its own responses to be sent.
_FAILED_ATTEMPTS_S = 1.0
_FAILED_EXIT_S = 1.3


def stop(process, servers, clock=time):
    """Stop a running process; `servers`: name -> ListeningServer.  Returns when it may exit."""
    start_s = clock.monotonic()
    schedule = schedule_of(process.config.bounds.graceMs, "callers" in servers)
    if process.config.role == "counter":
        _drain(process, _callers_servers(servers), schedule, start_s, clock)
    process.close()
    _answer_the_rest(process, servers, start_s, schedule.attempts_s, schedule.exit_s, clock)


def stop_failed(process, servers, clock=time):
    """End a process whose core has failed: it decides nothing more, so requests that wait for it
    are refused.  Returns when it may exit."""
    process.close()
    _answer_the_rest(process, servers, clock.monotonic(), _FAILED_ATTEMPTS_S, _FAILED_EXIT_S, clock)


def _callers_servers(servers):
    """The servers that take callers' requests."""
    return [server for name, server in servers.items() if name in ("http", "callers")]


def _drain(process, servers, schedule, start_s, clock):
    """Have callers' requests answered, and accept no more of them after some time."""
    times = {"acceptMs": 1000 * schedule.accept_s, "waitMs": 1000 * schedule.wait_s}
    process.notify("", "leave", times)
    _wait_until(start_s + schedule.accept_s, process.stopped, clock)
    for server in servers:
        server.stop_accepting()
    _wait_until(
        start_s + schedule.drain_s,
        lambda: process.stopped() or all(server.empty() for server in servers),
        clock,
    )


def _answer_the_rest(process, servers, start_s, attempts_s, exit_s, clock):
    """Wait until all requests are answered.  `attempts_s` after the start, those that wait for an
    engine's response are answered without it; `exit_s` after the start, the rest is given up."""
    for server in servers.values():
        server.stop_accepting()

    def answered():
        return not any(server.has_unanswered_requests() for server in servers.values())

    _wait_until(start_s + attempts_s, answered, clock)
    process.end_attempts()
    _wait_until(start_s + exit_s, answered, clock)


def _wait_until(end_s, condition, clock):
    """Wait until a condition holds, until `end_s` at most."""
    while clock.monotonic() < end_s and not condition():
        clock.sleep(_POLL_S)
