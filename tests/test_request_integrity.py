"""Engines receive exactly the bytes that callers sent, with the tenant's name instead of the
key, whatever engines and callers do.

Callers write raw requests at the real listener; engines answer early, twice, late or not
at all, and read on.  Whatever an engine reads must be one caller's request, unchanged.
"""

import random
import socket
import threading
from concurrent.futures import Future, ThreadPoolExecutor
from types import SimpleNamespace

import pycurl
from adapter.dialect import DIALECT
from pulleyhitch.caller_connection import CallerConnection
from pulleyhitch.gateway import Gateway
from pulleyhitch.request_framing import parse_request
from routing import proxying
from routing.byte_budget import ByteBudget
from routing.connection_pool import ConnectionPool
from routing.engine_api import EngineRequest
from routing.router import Attempt
from routing.tasks import Done, KeepWaiting
from simulation.raw_requests import TENANTS, RawRequest
from simulation.unruly_engine import UnrulyEngine
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan
from transport import failures

SEEDS = range(6)
REQUESTS = 60
CALLERS = 6
WAIT_S = 5.0


class Owner:
    """Stands for the node behind the gateway: sends every request to one of the engines."""

    def __init__(self, engines, port):
        self.pool, self.dialect, self._engines = ConnectionPool(), DIALECT, engines
        self._left, self._rng, self._lock = {}, random.Random(1), threading.Lock()
        self.budget = ByteBudget(64 << 20)
        self.ring = SimpleNamespace(note=lambda *what, **more: None)
        self.config = SimpleNamespace(
            doors={"callers": f"127.0.0.1:{port}"},
            bounds=SimpleNamespace(serviceBackMs=12000),
            httpThreads=32,
        )

    def ends_attempts(self):
        return False

    def _attempt(self, tenant):
        engine = self._rng.choice(self._engines)
        return Attempt("i-1", engine.url, 3000.0, 0, tenant=tenant)

    def submit(self, token, verb, fields):
        fields.update(
            kind=self._rng.choice(("safe", "unsafe", "stream")),
            resumable=False,
            aimMs=500.0,
            repeatable=self._rng.random() < 0.7,
        )
        tenant = TENANTS.get(fields.pop("key").decode())
        with self._lock:
            self._left[token] = (2, fields["repeatable"], tenant)
        future = Future()
        future.set_result(self._attempt(tenant))
        return future

    def notify(self, token, verb, body):
        """Ignored: nothing waits here."""

    def request(self, token, verb, body, wait_s=0):
        if verb == "silent":
            return KeepWaiting()
        proof = body["proof"]
        with self._lock:
            left, repeatable, tenant = self._left.get(token, (0, False, None))
            self._left[token] = (left - 1, repeatable, tenant)
        if proof in ("done", "gone", "cut"):
            return Done()
        if left > 0 and (repeatable or proof in ("not-run", "no-pipe")):
            return self._attempt(tenant)
        return failures.OutcomeUnknown("leg-broken")


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as found:
        return found.getsockname()[1]


class DepartedCallers(TestCase):
    def test_nothing_is_sent_for_them(self):
        """The caller has closed before its request is handled, as after a pause of the process."""
        owner = Owner([UnrulyEngine(0, ("good",))], free_port())
        gateway, posted = Gateway(owner), []
        self.addCleanup(gateway.stop)
        self.patch(owner, "submit", lambda *args: posted.append(args) or Future())
        request = parse_request(b"GET /a/ HTTP/1.1\r\nHost: h\r\nX-Try-Id: t\r\n\r\n", 10)
        for leaves in (False, True):
            ours, theirs = socket.socketpair()
            self.addCleanup(ours.close)
            self.addCleanup(theirs.close)
            if leaves:
                theirs.close()
            gateway._begin(CallerConnection(ours, ("c", 1), 0.0, request=request))
        self.assertThat(len(posted), Equals(1))


class EarlyResponses(TestCase):
    def test_no_connection_is_reused_while_a_body_is_unsent(self):
        """An engine that responds before it has read a long body, and reads on, receives nothing
        else on that connection."""
        for seed, manners in enumerate((("early",), ("early-good",), ("early", "good"))):
            engine, pool = UnrulyEngine(seed, manners), ConnectionPool()
            self.addCleanup(engine.close)
            sent = set()
            for number in range(20):
                body = bytes([65 + number]) * 300_000
                engine_request = EngineRequest(
                    "POST", f"{engine.url}/{number}", body, (f"X-Try-Id: {number}",)
                )
                sent.add((engine_request.method, f"/{number}", body))
                list(proxying.stream(pool, engine.url, engine_request, 5000, 1000, False))
            read = {(method, target, body) for method, target, _, body in engine.read}
            self.assertThat((read - sent, engine.strange), Equals((set(), [])))

    def test_only_a_request_that_was_sent_completely_leaves_its_connection(self):
        for sent_bytes, whole in ((0, False), (4, False), (5, True)):
            curl = SimpleNamespace(getinfo={pycurl.SIZE_UPLOAD_T: sent_bytes}.get)
            engine_request = EngineRequest("POST", "http://e/", b"12345")
            self.assertThat(proxying._sent_whole(curl, engine_request), Equals(whole))


class RequestIntegrity(TestCase):
    """Rule UNASKED: an engine must not receive bytes that nobody sent, the name of a tenant that
    doesn't hold the key, or the key itself."""

    def write(self, rng, port, sent):
        """A caller sends its request, completely or not, and reads the response."""
        wire, manner = sent.wire(), rng.choice(("whole",) * 5 + ("more", "half", "leaves"))
        if manner == "half":
            wire = wire[: rng.randrange(1, len(wire))]
        if manner == "more":
            wire += b"POST /smuggled HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
        with socket.create_connection(("127.0.0.1", port), WAIT_S) as sock:
            sock.settimeout(WAIT_S)
            try:
                for at in range(0, len(wire), 60_000):
                    sock.sendall(wire[at : at + 60_000])
                if manner == "leaves":
                    return None
                sock.shutdown(socket.SHUT_WR) if manner == "half" else None
                got = b""
                while part := sock.recv(1 << 16):
                    got += part
                return got
            except OSError:
                return None

    def played(self, seed):
        rng = random.Random(seed)
        engines = [UnrulyEngine(seed * 10 + n) for n in range(3)]
        owner = Owner(engines, free_port())
        gateway = Gateway(owner)
        thread = threading.Thread(target=gateway.run, daemon=True)
        thread.start()
        port = int(owner.config.doors["callers"].rpartition(":")[2])
        sent = [RawRequest(random.Random(rng.random()), number) for number in range(REQUESTS)]
        with ThreadPoolExecutor(CALLERS) as pool:
            answers = list(pool.map(lambda s: self.write(random.Random(s.id), port, s), sent))
        gateway.stop()
        thread.join(WAIT_S)
        for engine in engines:
            engine.close()
        return sent, answers, engines

    def test_engines_receive_what_callers_sent(self):
        for seed in SEEDS:
            sent, answers, engines = self.played(seed)
            facts = {s.id: s.facts() for s in sent}
            read = [found for engine in engines for found in engine.read]
            wrong = [
                (found[:3], len(found[3])) for found in read if facts.get(found[2][0]) != found
            ]
            self.assertThat(wrong, Equals([]), str(seed))
            self.assertThat([s for e in engines for s in e.strange], Equals([]), str(seed))
            self.assertThat(len(read), GreaterThan(REQUESTS // 3), str(seed))
            ids = {s.id.encode() for s in sent}
            for request, answer in zip(sent, answers, strict=True):
                others = ids - {request.id.encode()}
                foreign = [other for other in others if other in (answer or b"")]
                self.assertThat(foreign, Equals([]), str(seed))
