"""Start a node of the platform with one part of it broken: `-m ... MUTANT ROLE`.

The judge must see each of these; what it doesn't see it can't rule out.
"""

import runpy
import sys
import time
from dataclasses import replace

from placement import demand
from pulleyhitch import shard_ownership
from routing import choice, connection_pool, proxying
from routing.engine_api import EngineRequest
from transport import failures
from transport.effects import Reply

__all__ = ["MUTANTS"]

_NOBODY = "http://127.0.0.1:9"
_DEAD_AFTER_S = 6.0
_TIED_SUBJECTS = ("3", "4", "5")


def _short_body():
    """The last byte of each body is not handed on."""
    kept = proxying._prepare

    def prepare(curl, ask, *more):
        kept(curl, replace(ask, body=ask.body[:-1]), *more)

    proxying._prepare = prepare
    proxying._sent_whole = lambda curl, ask: True


def _sent_again():
    """Every request is sent once more by itself, and the second answer is passed on."""
    kept = proxying._exchange

    def exchange(pool_, base, pipe, known, ask, *more):
        for _ in kept(None, None, connection_pool.Connection(), False, ask, *more):
            pass
        return (yield from kept(pool_, base, pipe, known, ask, *more))

    proxying._exchange = exchange


def _stale_headers():
    """A handle that is used again keeps the fields of its first request."""
    kept, first = proxying._prepare, {}

    def prepare(curl, ask, *more):
        headers = first.setdefault(id(curl), ask.headers)
        kept(curl, EngineRequest(ask.method, ask.url, ask.body, headers), *more)

    proxying._prepare = prepare


def _smuggling():
    """What stands behind a request's end is handed on as part of its body."""
    from pulleyhitch import request_framing

    kept = request_framing.parse_request

    def parse_request(data, limit):
        found = kept(data, limit)
        if isinstance(found, request_framing.Complete) and b"smuggled" in data:
            return replace(found, body=found.body + b"smuggled")
        return found

    request_framing.parse_request = parse_request


def _cut_short():
    """A request that ends before its body does is handed on as it is, and nobody looks
    whether its caller is still there."""
    from pulleyhitch import gateway, listener, request_framing
    from routing import relaying

    kept = listener.Listener._dispatch

    def judge(door, caller, measured, ended):
        incomplete = isinstance(measured, request_framing.Incomplete)
        head, found, body = bytes(caller.data).partition(b"\r\n\r\n")
        if ended and incomplete and found:
            measured = request_framing.Complete(head + found, body)
        kept(door, caller, measured, ended)

    listener.Listener._dispatch = judge
    gateway.closed_by_peer = relaying.closed_by_peer = lambda sock: False


def _forgotten_order():
    """A change is accepted and forgotten: no answer ever comes, nothing is logged."""
    kept = shard_ownership.command

    def command(ownership, now_ms, token, shard, verb, *more):
        if verb == "written" and more[0].get("partial"):
            return []
        return kept(ownership, now_ms, token, shard, verb, *more)

    shard_ownership.command = command


def _dead_holder():
    """The holder of shard 0 takes no command any more after a while."""
    kept, start_s = shard_ownership.command, time.monotonic()

    def command(ownership, now_ms, token, shard, *more):
        if shard == 0 and time.monotonic() - start_s > _DEAD_AFTER_S:
            return [Reply(token, failures.NoHolder(1000, 0))]
        return kept(ownership, now_ms, token, shard, *more)

    shard_ownership.command = command


def _forgotten_demand():
    """Nobody remembers what is asked for, and nobody may wait for it."""
    demand.record_requests = lambda *asked: None
    from placement import counter_commands, demand_planner

    demand_planner.record_requests = lambda *told: None
    counter_commands._on_hold = lambda p, now_ms, token, body, registry, terms: [
        Reply(token, failures.NoRoom(1000, body["model"], "forgotten"))
    ]


def _tied_subject():
    """Requests of some subjects go to an engine that isn't there, for ever."""
    kept = choice.choose

    def choose(r, now_ms, engines, crew, task, *more):
        best = kept(r, now_ms, engines, crew, task, *more)
        tied = best is not None and task.opening in _TIED_SUBJECTS
        return {**best, "url": _NOBODY} if tied else best

    choice.choose = choose


MUTANTS = {
    "short-body": ("UNASKED", _short_body),
    "sent-again": ("TWICE", _sent_again),
    "stale-headers": ("UNASKED", _stale_headers),
    "smuggling": ("UNASKED", _smuggling),
    "cut-short": ("UNASKED", _cut_short),
    "forgotten-order": ("ACKS", _forgotten_order),
    "dead-holder": ("ACKS", _dead_holder),
    "forgotten-demand": ("STARVED", _forgotten_demand),
    "tied-subject": ("STARVED", _tied_subject),
}


def main():
    """Break the part that is named, then start as the platform does."""
    name, role = sys.argv[1:3]
    MUTANTS[name][1]()
    sys.argv = ["platform/start.py", role]
    sys.path.insert(0, "platform")
    runpy.run_path("platform/start.py", run_name="__main__")


if __name__ == "__main__":
    main()
