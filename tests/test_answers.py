"""Callers, one whole node and engines that misbehave, over real sockets: each answer is
its caller's own, whole or visibly cut, and what may not be repeated runs once."""

import dataclasses
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from adapter.dialect import DIALECT
from configuration import passages
from configuration.registry import Registry
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from pulleyhitch import config
from pulleyhitch.gateway import Gateway
from pulleyhitch.process import Process
from simulation import platform_callers as callers
from simulation import platform_engine as core
from simulation.fleet import free_ports
from simulation.placing import engine_facts
from simulation.platform_faults import Fault
from simulation.platform_serving import EngineDoor, now_ms

WAIT_S = 30
PROMISES = (408, 421, 429, 503)
HOST = "h"
# Engines bear their slots from the start, so that faults and not a ramp decide.
WARM = {"warmPerS": 0.0, "warmMs": 0.0}
# How long an engine that broke a leg is left alone.
PAUSE_MS = 5.0
TRIES = 3
ROUTES = {
    "safe": {"kind": "safe"},
    "unsafe": {"kind": "unsafe"},
    "stream": {"kind": "stream"},
    "resumable": {"kind": "stream", "resumable": True},
}
SIZES = core.Sizes(8, 20000, 0.0, 0, 0.0, 0.0, 40.0, 4, 0.0, 0.0, {}, 0.0, work_ms=0.0)


def routes():
    return {
        name: {
            "host": HOST,
            "prefix": f"/{name}/",
            "holdMs": 20000.0,
            "aimMs": 300.0,
            "rank": 0,
            "split": [{"service": "s", "weight": 1}],
            "tries": TRIES,
            **facts,
        }
        for name, facts in ROUTES.items()
    }


class Node:
    """A counter in this process, whose layout is given and never old, and its engines."""

    def __init__(self):
        ports = free_ports(6)
        at = [f"127.0.0.1:{port}" for port in ports]
        told = {
            "name": "c0",
            "role": "counter",
            "zone": "z",
            "address": at[0],
            "http": at[1],
            "seeds": [at[0]],
            "doors": {"callers": at[2]},
            "retryRatio": 1.0,
            "retryAllowance": 1e6,
        }
        self.address, self.past = at[2], []
        self.doors = {f"e{n}": self._door(f"e{n}", at[3 + n]) for n in range(3)}
        self.process = Process(config.check(told), DIALECT)
        node = self.process._node
        section = passages.section(routes(), {"s": {"kind": "plain", **WARM}})
        node.cluster.registry = Registry(
            sections={"floor": section},
            engines={
                name: engine_facts(name, "s", url=f"http://{door.engine.address}")
                for name, door in self.doors.items()
            },
        )
        node.follower.current_ms = float("inf")
        node.router.terms = dataclasses.replace(node.router.terms, pauseMs=PAUSE_MS)
        self.process.start()
        self.gateway = Gateway(self.process)
        threading.Thread(target=self.gateway.run, daemon=True).start()

    def _door(self, name, address):
        engine = core.Engine(name, "s", "z", address, SIZES, core.Store(1.0, 1), now_ms(), True)
        return EngineDoor(engine)

    def close(self):
        self.gateway.stop()
        self.process._stopped.set()
        self.process.notify("", "leave", {})
        self.process._connections.close()
        for door in self.doors.values():
            door.close()

    def runs(self):
        """{request id: how often it ran}"""
        found = {}
        for door in self.doors.values():
            for _, asked in list(door.engine.ran):
                found[asked.id] = found.get(asked.id, 0) + 1
        return found

    def at_rest(self):
        """Whether nothing of any request is left in any table."""
        router, door = self.process._node.router, self.gateway._listener
        return (
            not router.tasks
            and not any(router.busy.values())
            and not self.process._futures
            and not door._connections
            and not door._buffered_bytes
            and door._free_threads == door._thread_shares
        )

    def settle(self):
        end_s = time.monotonic() + WAIT_S
        while not self.at_rest():
            if time.monotonic() > end_s:
                return False
            time.sleep(0.005)
        return True


def made(kind, number, deadline_ms=15000):
    """A request; streams are of four events."""
    headers = () if kind in ("safe", "unsafe") else ("X-Tokens: 10,16",)
    body = b"" if number % 3 == 0 else b"%d" % number
    return callers.Request(
        kind, HOST, f"/{kind}/{number}?q", body, headers, events=4, deadlineMs=deadline_ms
    )


def wrong_answer(request, answer, runs):
    """What is wrong with an answer, or an empty text."""
    if answer.status in PROMISES and runs:
        return "a promise was broken"
    told = answer.headers.get("content-length")
    if told is not None and len(answer.body) > int(told):
        return "bytes beyond the answer"
    if answer.status == 200 and answer.whole:
        return callers.wrong(request, answer)
    if answer.headers.get("x-try-id", answer.id) != answer.id:
        return "another request's answer"
    if answer.headers.get("x-postmark", answer.id).rpartition(".")[2] != answer.id:
        return "another request's stamp"
    if answer.status == 200 and not _begins_well(request, answer):
        return "not the beginning of its answer"
    return ""


def _begins_well(request, answer):
    """Whether what came before a cut is the request's own, event by event."""
    if request.kind in ("safe", "unsafe"):
        own = f"{answer.id} POST {request.path} {request.body.hex()}".encode()
        return own.startswith(answer.body)
    events = [event for event in answer.body.split(b"\n\n") if event]
    ids = [int(event.partition(b"\n")[0][4:]) for event in events if event.startswith(b"id: ")]
    return ids == list(range(1, len(ids) + 1)) and all(
        answer.id.encode() in event for event in events[:-1]
    )


class Answers(RuleBasedStateMachine):
    """Rules give engines faults and send requests, alone and many at once."""

    def __init__(self):
        super().__init__()
        self.node, self.number, self.seen = Node(), 0, []
        self.pool = ThreadPoolExecutor(8)

    def teardown(self):
        try:
            assert self.node.settle(), vars(self.node.process._node.router)
            self.judge()
        finally:
            self.pool.shutdown()
            self.node.close()

    def judge(self):
        runs = self.node.runs()
        for request, answer in self.seen:
            count = runs.get(answer.id, 0)
            said = wrong_answer(request, answer, count)
            assert not said, (said, request, answer, count)
            most = TRIES if request.kind in ("safe", "resumable") else 1
            assert count <= most, (count, request, answer)
        sent = {answer.id: request.path for request, answer in self.seen}
        for name, door in self.node.doors.items():
            for _, run in list(door.engine.ran):
                assert run.engine == name, ("meant for another engine", name, run)
                assert (run.method, run.path) == ("POST", sent.get(run.id)), ("not sent so", run)

    def send(self, kind):
        self.number += 1
        return made(kind, self.number)

    @rule(
        name=st.sampled_from(["e0", "e1", "e2"]),
        faults=st.lists(st.sampled_from(Fault), max_size=3),
    )
    def misbehave(self, name, faults):
        self.node.doors[name].faults.extend(faults)

    @rule(kind=st.sampled_from(sorted(ROUTES)), faults=st.lists(st.sampled_from(Fault), max_size=3))
    def ask(self, kind, faults):
        """All engines will misbehave alike, as long as it takes."""
        for door in self.node.doors.values():
            door.faults.extend(faults)
        request = self.send(kind)
        self.seen.append((request, callers.send(self.node.address, request, WAIT_S)))

    @rule(kinds=st.lists(st.sampled_from(sorted(ROUTES)), min_size=2, max_size=8))
    def ask_many(self, kinds):
        requests = [self.send(kind) for kind in kinds]
        answers = self.pool.map(lambda r: callers.send(self.node.address, r, WAIT_S), requests)
        self.seen += list(zip(requests, answers))

    @rule(
        kind=st.sampled_from(sorted(ROUTES)),
        reads=st.integers(0, 200),
        ends=st.sampled_from(["close", "reset", "half"]),
    )
    def leave(self, kind, reads, ends):
        """A caller that goes away early, or ends its side and listens on."""
        request = self.send(kind)
        answer = leaving(self.node.address, request, reads, ends)
        self.seen.append((request, answer))

    @rule(name=st.sampled_from(["e0", "e1", "e2"]))
    def take_over(self, name):
        """Another engine is at the address from now on, or the first one again."""
        engine = self.node.doors[name].engine
        engine.id = name if engine.id != name else f"{name}-other"

    @invariant()
    def all_is_well(self):
        self.judge()


def leaving(address, request, reads, ends):
    """What a caller got that ended its side after `reads` bytes of the answer."""
    answer = callers.Answer(f"left{request.path.partition('?')[0].rpartition('/')[2]}")
    host, _, port = address.rpartition(":")
    got = b""
    try:
        with socket.create_connection((host, int(port)), timeout=WAIT_S) as sock:
            sock.sendall(callers.sent(answer.id, request))
            while len(got) < reads and (part := sock.recv(reads - len(got))):
                got += part
            if ends == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            elif ends == "half":
                sock.shutdown(socket.SHUT_WR)
                while part := sock.recv(65536):
                    got += part
    except OSError:
        pass
    return callers.read(answer, got)


TestAnswers = Answers.TestCase
TestAnswers.settings = settings(
    max_examples=25,
    stateful_step_count=16,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    print_blob=False,
    phases=[Phase.generate],
)
