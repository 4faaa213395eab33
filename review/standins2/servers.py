"""Stand-in servers and the platform's list of them, over HTTP with kept connections."""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

__all__ = ["ModelServer", "Platform", "PlainServer", "now_s"]

_KEEP_S = 3
_PAGE = 50
# How old the content of a server's report is.
_REPORT_LAG_S = 0.2


def now_s():
    return time.monotonic()


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    timeout = _KEEP_S

    def _any(self):
        try:
            body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
            code, headers, answer = self.server.app(self.command, self.path, self.headers, body)
            lines = [f"HTTP/1.1 {code} Told", f"Keep-Alive: timeout={_KEEP_S}", *headers]
            lines.append(f"Content-Length: {len(answer)}")
            self.wfile.write("\r\n".join(lines).encode() + b"\r\n\r\n" + answer)
        except OSError:
            self.close_connection = True

    do_GET = do_POST = do_PUT = do_DELETE = _any

    def log_message(self, format, *args):
        """Quiet."""


class _Http(ThreadingHTTPServer):
    daemon_threads, request_queue_size, allow_reuse_address = True, 256, True

    def handle_error(self, request, client_address):
        """A connection that broke is nothing to tell."""


def _serve(address, app):
    host, _, port = address.rpartition(":")
    http = _Http((host, int(port)), _Handler)
    http.app = app
    threading.Thread(target=http.serve_forever, args=(0.05,), daemon=True).start()
    return http


class PlainServer:
    """Answers any request after `work_s`.  `arrived` has (time, id) of each request that reached
    it, but those that were meant for another server.  While it is cold, it falls over if more than
    `bears` requests arrive in a second: it ends, and so do the requests that it runs."""

    def __init__(self, record, id_, service, zone, address, slots=64, work_s=0.02, bears=1e9):
        self.record, self.id, self.service = record, id_, service
        self.zone, self.address, self.slots, self.work_s = zone, address, slots, work_s
        self.arrived, self.cold_until_s, self.bears = [], 0.0, bears
        self.has_fallen, self.cut = False, []
        self.lock = threading.Lock()
        self._http = _serve(address, self._app)

    def _app(self, method, path, headers, body):
        if headers.get("X-Expect-Engine") not in (None, self.id):
            return 421, ("X-Not-Run: other",), b""
        if path == "/health":
            left_ms = int(1000 * max(0.0, self.cold_until_s - now_s()))
            return 200, (f"X-Engine: {self.id}", f"X-Warmup-Ms: {left_ms}"), b""
        id_ = headers.get("X-Try-Id", "")
        return self.request(id_, headers)

    def request(self, id_, headers):
        with self.lock:
            self._end_if_fallen(id_)
            self.arrived.append((now_s(), id_))
            self._fall_if_overrun()
        self.record("server", self.id, "runs", id_)
        time.sleep(self.work_s)
        with self.lock:
            if self.has_fallen:
                self.cut.append(id_)
            self._end_if_fallen(id_)
        stamp = (f"X-Try-Id: {id_}", f"X-Postmark: {self.id}.{id_}")
        return 200, stamp, f"{id_} by {self.id}".encode()

    def _end_if_fallen(self, id_):
        if self.has_fallen:
            self.record("server", self.id, "is down; cuts", id_)
            raise ConnectionAbortedError

    def _fall_if_overrun(self):
        at_s = now_s()
        recent = sum(at_s - 1.0 <= arrived_s for arrived_s, _ in self.arrived[-100:])
        if at_s < self.cold_until_s and recent > self.bears and not self.has_fallen:
            self.record("server", self.id, "falls over:", recent, "requests in a second")
            self.has_fallen = True

    def entry(self, seen_s):
        """Its entry in the list, as of the time `seen_s`."""
        return {
            "id": self.id,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "edition": "v1",
            "slots": self.slots,
            "state": "open",
            "leg": "both",
            "parcels": [],
        }


class ModelServer(PlainServer):
    """Also takes orders, one at a time: `orders` has (time, holder, fence, verb, model, code)."""

    def __init__(self, record, id_, service, zone, address, held, load_s, checks_fence):
        self.held, self._load_s, self._checks_fence = set(held), load_s, checks_fence
        self.orders, self._count, self._fence = [], 0, -1
        self._under_way, self._done_s = None, 0.0
        self._reports = [(0.0, self._state())]
        super().__init__(record, id_, service, zone, address)

    def _app(self, method, path, headers, body):
        if headers.get("X-Expect-Engine") not in (None, self.id):
            return 421, ("X-Not-Run: other",), b""
        if path == "/report":
            return 200, ("Content-Type: application/json",), json.dumps(self._report()).encode()
        if path == "/order":
            return self._order(json.loads(body)), (), b""
        return super()._app(method, path, headers, body)

    def request(self, id_, headers):
        with self.lock:
            self._advance()
            holds = headers.get("X-Parcel", "") in self.held
            loads = self._under_way == ("load", headers.get("X-Parcel", ""))
        if not holds:
            return (503 if loads else 421), (f"X-Try-Id: {id_}", "X-Not-Run: model"), b""
        return super().request(id_, headers)

    def _state(self):
        return {
            "leg": "both",
            "parcels": [{"name": m, "edition": 1, "inserts": []} for m in sorted(self.held)],
            "busy": getattr(self, "_under_way", None) is not None,
            "callSeq": self._count,
            "queued": 0,
            "inTransit": 0,
            "cacheUsed": 0,
            "cacheCapacity": 200000,
            "handles": 0,
        }

    def _changed(self):
        self._reports.append((now_s(), self._state()))

    def _advance(self):
        if self._under_way is None or now_s() < self._done_s:
            return
        verb, model = self._under_way
        self._under_way = None
        if verb == "load":
            self.held.add(model)
        else:
            self.held.discard(model)
        self._changed()

    def _report(self):
        with self.lock:
            self._advance()
            seen_s = now_s() - _REPORT_LAG_S
            return next(state for at_s, state in reversed(self._reports) if at_s <= seen_s)

    def _order(self, told):
        with self.lock:
            self._advance()
            code = self._decide(told)
            facts = (told.get("holder"), told.get("fenceNumber"), told["order"], told["parcel"])
            self.orders.append((now_s(), *facts, code))
            self.record("server", self.id, "order", *facts, "answer", code)
            return code

    def _decide(self, told):
        verb, model = told["order"], told["parcel"]
        if not told.get("holder") or not isinstance(told.get("fenceNumber"), int):
            return 400
        if self._checks_fence and told["fenceNumber"] < self._fence:
            return 412
        self._fence = max(self._fence, told["fenceNumber"])
        if self._under_way is not None or told.get("expectedCount", self._count) != self._count:
            return 409
        if (verb == "load") == (model in self.held):
            return 200
        self._count += 1
        self._under_way = (verb, model)
        self._done_s = now_s() + (self._load_s if verb == "load" else 0.01)
        self._changed()
        return 202


class Platform:
    """The list of servers, `lag_s` behind."""

    def __init__(self, address, servers, lag_s=0.8):
        self.address, self._servers, self._lag_s = address, servers, lag_s
        self._cold = {server.id: [(0.0, 0.0)] for server in servers}
        self._http = _serve(address, self._app)

    def make_cold(self, server, warmup_s):
        """The server is cold from now on."""
        at_s = now_s()
        server.cold_until_s = at_s + warmup_s
        self._cold[server.id].append((at_s, server.cold_until_s))

    def _app(self, method, path, headers, body):
        seen_s = now_s() - self._lag_s
        found = []
        for server in sorted(self._servers, key=lambda server: server.id):
            known = [until_s for at_s, until_s in self._cold[server.id] if at_s <= seen_s]
            left_ms = int(1000 * max(0.0, known[-1] - now_s()))
            found.append({**server.entry(seen_s), "warmupLeftMs": left_ms})
        told = {"engines": found[:_PAGE], "nextToken": None}
        return 200, ("Content-Type: application/json",), json.dumps(told).encode()
