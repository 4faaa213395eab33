"""Response integrity with faulty engines, over real sockets: each response belongs to its
request and is complete or visibly truncated, and a request that isn't repeatable runs once.

A state machine of Hypothesis sends requests to a node while engines have random faults."""

import dataclasses
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from adapter.dialect import DIALECT
from configuration import document_facts
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
from simulation.platform_faults import BROKEN_STAMP, Fault
from simulation.platform_serving import EngineDoor, now_ms

WAIT_S = 30
NOT_RUN_STATUSES = (408, 421, 429, 503)
HOST = "h"
# Engines take all their slots from the start: faults decide, not the warm-up.
WARM = {"warmPerS": 0.0, "warmMs": 0.0}
# Pause of an engine after a failed attempt.
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
    """A counter in this process, with a fixed layout that never gets stale, and its engines."""

    def __init__(self):
        ports = free_ports(6)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        raw_config = {
            "name": "c0",
            "role": "counter",
            "zone": "z",
            "address": addresses[0],
            "http": addresses[1],
            "seeds": [addresses[0]],
            "doors": {"callers": addresses[2]},
            "retryRatio": 1.0,
            "retryAllowance": 1e6,
        }
        self.address, self.past = addresses[2], []
        self.engine_servers = {
            f"e{n}": self._engine_server(f"e{n}", addresses[3 + n]) for n in range(3)
        }
        self.process = Process(config.check(raw_config), DIALECT)
        node = self.process._node
        section = document_facts.section(routes(), {"s": {"kind": "plain", **WARM}})
        node.cluster.registry = Registry(
            sections={"floor": section},
            engines={
                name: engine_facts(name, "s", url=f"http://{server.engine.address}")
                for name, server in self.engine_servers.items()
            },
        )
        node.follower.current_ms = float("inf")
        node.router.settings = dataclasses.replace(node.router.settings, pauseMs=PAUSE_MS)
        self.process.start()
        self.gateway = Gateway(self.process)
        threading.Thread(target=self.gateway.run, daemon=True).start()

    def _engine_server(self, name, address):
        engine = core.Engine(name, "s", "z", address, SIZES, core.Store(1.0, 1), now_ms(), True)
        return EngineDoor(engine)

    def close(self):
        self.gateway.stop()
        self.process._stopped.set()
        self.process.notify("", "leave", {"acceptMs": 0.0, "waitMs": 0.0})
        self.process._connections.close()
        for server in self.engine_servers.values():
            server.close()

    def runs(self):
        """Number of runs on the engines, by request id."""
        found = {}
        for server in self.engine_servers.values():
            for _, request in list(server.engine.ran):
                found[request.id] = found.get(request.id, 0) + 1
        return found

    def is_idle(self):
        """Whether no table holds anything of a request."""
        router, listener = self.process._node.router, self.gateway._listener
        return (
            not router.tasks
            and not any(router.in_flight.values())
            and not len(self.process._pending)
            and not listener._connections
            and not listener._budget.used_bytes
            and listener._threads.shares.all_free()
        )

    def settle(self):
        end_s = time.monotonic() + WAIT_S
        while not self.is_idle():
            if time.monotonic() > end_s:
                return False
            time.sleep(0.005)
        return True


def make_request(kind, number, deadline_ms=15000):
    """A request; streams have four events."""
    headers = () if kind in ("safe", "unsafe") else ("X-Tokens: 10,16",)
    body = b"" if number % 3 == 0 else b"%d" % number
    return callers.Request(
        kind, HOST, f"/{kind}/{number}?q", body, headers, events=4, deadlineMs=deadline_ms
    )


def find_violation(request, answer, runs):
    """Description of a violation in a response, or an empty string."""
    if answer.headers.get("x-postmark", "").startswith(BROKEN_STAMP):
        return "a broken response, passed on"
    if answer.status in NOT_RUN_STATUSES and runs:
        return "it ran, though the status says that it did not"
    content_length = answer.headers.get("content-length")
    if content_length is not None and len(answer.body) > int(content_length):
        return "more bytes than Content-Length"
    if answer.status == 200 and answer.whole:
        return callers.wrong(request, answer)
    if answer.headers.get("x-try-id", answer.id) != answer.id:
        return "another request's response"
    if answer.headers.get("x-postmark", answer.id).rpartition(".")[2] != answer.id:
        return "another request's stamp"
    if answer.status == 200 and not _is_own_prefix(request, answer):
        return "not a prefix of its own response"
    return ""


def _is_own_prefix(request, answer):
    """Whether a truncated response is a prefix of the request's own, event by event."""
    if request.kind in ("safe", "unsafe"):
        own = f"{answer.id} POST {request.path} {request.body.hex()}".encode()
        return own.startswith(answer.body)
    events = [event for event in answer.body.split(b"\n\n") if event]
    ids = [int(event.partition(b"\n")[0][4:]) for event in events if event.startswith(b"id: ")]
    return ids == list(range(1, len(ids) + 1)) and all(
        answer.id.encode() in event for event in events[:-1]
    )


class FaultyEngines(RuleBasedStateMachine):
    """Rules give engines faults and send requests, one or many at once."""

    def __init__(self):
        super().__init__()
        self.node, self.number, self.responses = Node(), 0, []
        self.pool = ThreadPoolExecutor(8)

    def teardown(self):
        try:
            assert self.node.settle(), vars(self.node.process._node.router)
            self.check_responses()
        finally:
            self.pool.shutdown()
            self.node.close()

    def check_responses(self):
        runs = self.node.runs()
        for request, answer in self.responses:
            count = runs.get(answer.id, 0)
            violation = find_violation(request, answer, count)
            assert not violation, (violation, request, answer, count)
            max_runs = TRIES if request.kind in ("safe", "resumable") else 1
            assert count <= max_runs, (count, request, answer)
        sent = {answer.id: request.path for request, answer in self.responses}
        for name, server in self.node.engine_servers.items():
            for _, run in list(server.engine.ran):
                assert run.engine == name, ("meant for another engine", name, run)
                assert (run.method, run.path) == ("POST", sent.get(run.id)), ("not sent so", run)

    def send(self, kind):
        self.number += 1
        return make_request(kind, self.number)

    @rule(
        name=st.sampled_from(["e0", "e1", "e2"]),
        faults=st.lists(st.sampled_from(Fault), max_size=3),
    )
    def add_faults(self, name, faults):
        self.node.engine_servers[name].faults.extend(faults)

    @rule(kind=st.sampled_from(sorted(ROUTES)), faults=st.lists(st.sampled_from(Fault), max_size=3))
    def send_with_faults(self, kind, faults):
        """Send one request while all engines have the same faults."""
        for server in self.node.engine_servers.values():
            server.faults.extend(faults)
        request = self.send(kind)
        self.responses.append((request, callers.send(self.node.address, request, WAIT_S)))

    @rule(kinds=st.lists(st.sampled_from(sorted(ROUTES)), min_size=2, max_size=8))
    def send_many(self, kinds):
        requests = [self.send(kind) for kind in kinds]
        answers = self.pool.map(lambda r: callers.send(self.node.address, r, WAIT_S), requests)
        self.responses += list(zip(requests, answers))

    @rule(
        kind=st.sampled_from(sorted(ROUTES)),
        reads=st.integers(0, 200),
        ending=st.sampled_from(["close", "reset", "half"]),
    )
    def disconnect(self, kind, reads, ending):
        """A caller that disconnects early, or only shuts down its sending side."""
        request = self.send(kind)
        answer = disconnecting_caller(self.node.address, request, reads, ending)
        self.responses.append((request, answer))

    @rule(name=st.sampled_from(["e0", "e1", "e2"]))
    def take_over(self, name):
        """A different engine takes over the address, or the first one returns."""
        engine = self.node.engine_servers[name].engine
        engine.id = name if engine.id != name else f"{name}-other"

    @invariant()
    def responses_are_intact(self):
        self.check_responses()


def disconnecting_caller(address, request, reads, ending):
    """The response as seen by a caller that ends its side after `reads` bytes."""
    answer = callers.Answer(f"left{request.path.partition('?')[0].rpartition('/')[2]}")
    host, _, port = address.rpartition(":")
    received = b""
    try:
        with socket.create_connection((host, int(port)), timeout=WAIT_S) as sock:
            sock.sendall(callers.sent(answer.id, request))
            while len(received) < reads and (chunk := sock.recv(reads - len(received))):
                received += chunk
            if ending == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            elif ending == "half":
                sock.shutdown(socket.SHUT_WR)
                while chunk := sock.recv(65536):
                    received += chunk
    except OSError:
        pass
    return callers.read(answer, received)


TestFaultyEngines = FaultyEngines.TestCase
TestFaultyEngines.settings = settings(
    max_examples=25,
    stateful_step_count=16,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    print_blob=False,
    phases=[Phase.generate],
)
