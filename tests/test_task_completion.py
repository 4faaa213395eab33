"""The node's event loop learns of each task's end, whatever goes wrong; only a request that has
not run is promised not to have run, and a cut response never looks complete."""

import socket
import struct
import sys
import threading
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

from adapter.dialect import DIALECT
from configuration import document_facts
from configuration.registry import Registry
from placement import cluster_state
from process_harness import lone_counter
from pulleyhitch import config, server
from routing import choice, proxying, responses, router
from routing.byte_budget import ByteBudget
from routing.engine_calls import AttemptEnd
from routing.relaying import RequestRelay
from routing.response_head import ResponseHead
from routing.router import Attempt
from routing.tasks import Done
from simulation.placing import SHARDS, engine_facts
from testtools import TestCase
from testtools.matchers import Equals
from transport import failures
from transport.effects import Reply
from transport.socket_state import closed_by_peer
from werkzeug.test import EnvironBuilder
from werkzeug.wrappers import Request

OWN = (("X-Try-Id", "t1"), ("X-Postmark", "p"))
NODES = choice.RoutingNodes("c0", ("c0",), "z")


class Relayed(TestCase):
    """One attempt with the given events; `proofs` are those reported to the event loop."""

    def relay(self, events, environ=None, step=None, **request):
        self.proofs, self.closed = [], []

        def stream(*args):
            try:
                for event in events:
                    if isinstance(event, Exception):
                        raise event
                    yield event
            finally:
                self.closed.append(True)

        def ask(token, verb, body):
            self.proofs.append(body["proof"])
            over = body["proof"] in ("done", "gone", "cut")
            return Done() if over else step or failures.OutcomeUnknown("x")

        self.patch(proxying, "stream", stream)
        self.request = {
            "id": "t1",
            "method": "POST",
            "target": "/a",
            "body": b"",
            "headers": (),
            "aimMs": 500.0,
            "kind": "stream",
            "resumable": False,
            "repeatable": False,
            **request,
        }
        relay = RequestRelay(ask, None, DIALECT, 100)
        return relay.serve("k", self.request, Attempt("e", "http://e", 1000.0), environ or {})

    def test_an_error_before_the_response_ends_the_task(self):
        for events in ([ValueError()], [("head", ResponseHead(200, "", OWN)), ValueError()]):
            self.assertRaises(ValueError, self.relay, events, kind="safe")
            self.assertThat((self.proofs, self.closed), Equals((["gone"], [True])))

    def test_an_error_within_a_stream_ends_it_and_the_task(self):
        events = [("head", ResponseHead(200, "", OWN)), ("data", b"id: 1\n\n"), ValueError()]
        response = self.relay(events)
        parts = iter(response.response)
        self.assertThat(next(parts), Equals(b"id: 1\n\n"))
        self.assertRaises(ValueError, next, parts)
        self.assertThat((self.proofs, self.closed), Equals((["gone"], [True])))

    def test_a_stream_that_nobody_reads_ends(self):
        response = self.relay([("head", ResponseHead(200, "", OWN)), ("data", b"x")])
        response.close()
        self.assertThat((self.proofs, self.closed), Equals((["gone"], [True])))
        response.close()
        self.assertThat(self.proofs, Equals(["gone"]))

    # An engine's head that couldn't be passed on held a place at that engine for ever.
    def test_a_stream_that_cannot_be_started_ends(self):
        for location in ("http://[", "http://h:99999999/"):
            head = ResponseHead(200, "", (*OWN, ("Location", location)))
            response = self.relay([("head", head), ("data", b"x")])
            environ = EnvironBuilder().get_environ()
            self.assertRaises(ValueError, responses.start, response, environ, lambda *args: None)
            self.assertThat((self.proofs, self.closed), Equals((["gone"], [True])))

    def test_a_stream_that_is_started_goes_on(self):
        response = self.relay([("head", ResponseHead(200, "", OWN)), ("data", b"x")])
        parts = responses.start(response, EnvironBuilder().get_environ(), lambda *args: None)
        self.assertThat((next(iter(parts)), self.proofs), Equals((b"x", [])))
        parts.close()

    def test_responses_without_a_body(self):
        """Neither a HEAD nor a 204 is a stream, whatever the route's kind."""
        for method, code in (("HEAD", 200), ("POST", 204), ("POST", 304)):
            head = ResponseHead(code, "", (*OWN, ("Content-Length", "9")))
            response = self.relay(
                [("head", head), ("end", AttemptEnd(code, b"", True))], method=method
            )
            environ = EnvironBuilder(method=method).get_environ()
            body, status, headers = (
                response.get_app_iter(environ),
                response.status_code,
                (response.get_wsgi_headers(environ)),
            )
            self.assertThat((list(body), status), Equals(([], code)))
            self.assertThat(self.proofs, Equals(["done"]))
            if method == "HEAD":
                self.assertThat(headers["Content-Length"], Equals("9"))

    def test_content_length_is_that_of_the_bytes_passed_on(self):
        """The engine announces one length and sends chunks of another."""
        lengths = (*OWN, ("Content-Length", "3"), ("Transfer-Encoding", "chunked"))
        events = [
            ("head", ResponseHead(200, "", lengths)),
            ("data", b"hello"),
            ("end", AttemptEnd(200, b"", 1)),
        ]
        response = self.relay(events, kind="safe")
        self.assertThat(response.headers.getlist("Content-Length"), Equals(["5"]))
        response = self.relay(events)
        self.assertThat(response.headers.getlist("Content-Length"), Equals([]))
        self.assertThat(b"".join(response.response), Equals(b"hello"))

    def test_a_caller_that_half_closed_gets_no_complete_stream(self):
        """It may still be reading: a stream that was cut because the caller seemed gone must look
        cut."""
        events = [("head", ResponseHead(200, "", OWN)), ("data", b"id: 1\n\n"), ("idle", None)]
        for resumable in (False, True):
            ours, theirs = socket.socketpair()
            self.addCleanup(ours.close)
            self.addCleanup(theirs.close)
            response = self.relay(events, {"werkzeug.socket": ours}, resumable=resumable)
            theirs.shutdown(socket.SHUT_WR)
            parts = iter(response.response)
            self.assertThat(next(parts), Equals(b"id: 1\n\n"))
            self.assertRaises(ConnectionError, next, parts)
            self.assertThat(self.proofs, Equals(["gone"]))

    def test_no_promise_once_an_attempt_may_have_run(self):
        for failure in (
            failures.Overloaded(1000, "x"),
            failures.MajorityLost(1000),
            failures.Stale(1, 1),
            failures.NoRoom(1000, "m", "x"),
            failures.DeadlinePassed(1000, False),
        ):
            for end, status in (
                ([("end", AttemptEnd(0, b"", True))], 502),
                ([("end", AttemptEnd(0, b"", False))], 503),
                ([("head", ResponseHead(503, "", (*OWN, ("X-Not-Run", "full"))))], 503),
                ([("head", ResponseHead(200, "", ()))], 502),
            ):
                self.assertThat(self.relay(end, step=failure).status_code, Equals(status))


class DepartedCallers(TestCase):
    """Whether a caller has left, whatever it sent before."""

    def test_closed_by_peer(self):
        for sent in (b"", b"bytes after its request"):
            for how in ("stay", "close", "half"):
                ours, theirs = socket.socketpair()
                self.addCleanup(ours.close)
                self.addCleanup(theirs.close)
                theirs.sendall(sent)
                if how == "close":
                    theirs.close()
                elif how == "half":
                    theirs.shutdown(socket.SHUT_WR)
                self.assertThat(closed_by_peer(ours), Equals(how != "stay"), f"{sent} {how}")
                ours.close()
                self.assertTrue(closed_by_peer(ours))

    def test_reset(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            theirs = socket.create_connection(listener.getsockname())
            ours, _ = listener.accept()
        self.addCleanup(ours.close)
        theirs.sendall(b"bytes after its request")
        self.assertFalse(closed_by_peer(ours))
        theirs.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        theirs.close()
        self.assertTrue(closed_by_peer(ours))


class FinalResponses(TestCase):
    """The router's own final responses."""

    def setUp(self):
        super().setUp()
        section = document_facts.section(
            {}, {"s": {"kind": "plain", "warmPerS": 0.0, "warmMs": 0.0}}
        )
        self.floor = cluster_state.ClusterState(
            SHARDS,
            registry=Registry(
                sections={"floor": section},
                engines={f"e{n}": engine_facts(f"e{n}", "s") for n in range(2)},
            ),
        )

    def final_outcome(self, *proofs, now_ms=1100.0):
        """The outcome after attempts with these proofs."""
        terms = router.RoutingSettings(1e12, 1000.0, 100.0, 1.0, 10000.0, 1e6, retryAllowance=100.0)
        routing = router.Router(terms)
        task = router.Task(
            "t", "t", "s", "", "", "rank1", "", True, False, 9000.0, aimMs=500.0, from_platform=True
        )
        (reply,) = router.begin(routing, 1000.0, self.floor, 0.0, NODES, task)
        for proof in proofs:
            self.assertIsInstance(reply.outcome, Attempt)
            reply, *_ = router.ended(routing, now_ms, self.floor, 0.0, NODES, "t", proof)
        return reply.outcome

    def test_only_requests_that_have_not_run_are_promised(self):
        for proofs, status in (
            (("not-run", "not-run"), 503),
            (("no-pipe", "no-pipe"), 503),
            (("unknown", "unknown"), 502),
            (("unknown", "not-run"), 502),
            (("not-run", "unknown"), 502),
            (("unknown", "no-pipe"), 502),
        ):
            self.assertThat(self.final_outcome(*proofs).status, Equals(status), str(proofs))


class Replies(TestCase):
    """Replies of the event loop to the threads that wait for them."""

    def process(self, handle):
        return lone_counter(self, handle).start()

    def test_a_late_reply_is_dropped(self):
        said = threading.Event()

        def handle(event):
            if getattr(event, "verb", "") == "late":
                return []
            if getattr(event, "verb", "") == "say":
                said.set()
                return [Reply("t", Done()), Reply(event.token, Done())]
            return []

        process = self.process(handle)
        self.assertIsInstance(process.request("t", "late", {}, 0.01), failures.MajorityLost)
        self.assertThat(len(process._pending), Equals(0))
        self.assertIsInstance(process.request("u", "say", {}, 30), Done)
        self.assertThat((said.is_set(), len(process._pending)), Equals((True, 0)))

    def test_each_reply_goes_to_its_own_thread(self):
        """Many threads, some of which give up at once."""
        before = sys.getswitchinterval()
        self.addCleanup(sys.setswitchinterval, before)
        sys.setswitchinterval(1e-6)

        def handle(event):
            token = getattr(event, "token", "")
            return [Reply(token, failures.NotFound(token))] if token else []

        process = self.process(handle)

        def ask_repeatedly(number):
            wrong = []
            for turn in range(300):
                token = f"{number}.{turn}"
                found = process.request(token, "x", {}, 0.0 if turn % 7 == 0 else 30)
                gave_up = isinstance(found, failures.MajorityLost)
                if found != failures.NotFound(token) and not (gave_up and turn % 7 == 0):
                    wrong.append((token, found))
            return wrong

        with ThreadPoolExecutor(12) as pool:
            self.assertThat(sum(pool.map(ask_repeatedly, range(12)), []), Equals([]))
        self.assertThat(len(process._pending), Equals(0))


class Commands(TestCase):
    def test_operators_do_not_choose_the_id_of_a_command(self):
        """Two operators that chose the same id would get each other's answers."""
        bodies = []

        class Asked:
            budget = ByteBudget(64 << 20)
            config = SimpleNamespace(
                http="127.0.0.1:0", httpThreads=4, bounds=config.Bounds(), tokens={}
            )

            def request(self, token, verb, body):
                bodies.append(body)
                return Done()

            def ends_attempts(self):
                return False

        request = Request(
            EnvironBuilder(method="POST", json={"id": "mine", "change": "c"}).get_environ()
        )
        server.Server(Asked())._change(request, "layout")
        self.assertThat(bodies, Equals([{"change": "c", "actor": ""}]))
