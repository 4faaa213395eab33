"""The stand-in engines and the list of them, behind HTTP with kept connections."""

import json
import threading
import time
from collections import deque
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from simulation import platform_engine as core
from simulation import platform_faults

__all__ = ["Answering", "EngineDoor", "now_ms", "reply"]

_KEEP_S = 3
_STREAM = ("Content-Type: text/event-stream", "X-Weight-Versions: 1")
_ONE = threading.Lock()


def now_ms():
    return time.monotonic() * 1000


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    timeout = _KEEP_S

    def _any(self):
        length = int(self.headers.get("Content-Length") or 0)
        try:
            self.server.app(self, self.rfile.read(length))
        except OSError:
            self.close_connection = True

    do_GET = do_POST = do_PUT = do_PATCH = do_DELETE = _any

    def log_message(self, format, *args):
        """Quiet."""


def reply(handler, code, headers=(), body=b"", length=True):
    """One answer in one piece; a stream's head has no length."""
    lines = [f"HTTP/1.1 {code} Told", f"Keep-Alive: timeout={_KEEP_S}", *headers]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    handler.wfile.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


def _whole(headers, body):
    """The bytes of a good answer with a length."""
    lines = ["HTTP/1.1 200 Told", f"Keep-Alive: timeout={_KEEP_S}", *headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def _plain_body(handler, asked, body):
    return f"{asked.id} {handler.command} {handler.path} {body.hex()}".encode()


class _Http(ThreadingHTTPServer):
    daemon_threads, request_queue_size, allow_reuse_address = True, 256, True

    def handle_error(self, request, client_address):
        """A connection that broke is nothing to tell."""


class Answering:
    """Serves `app(handler, body)` on an address until `close`."""

    def __init__(self, address, app):
        host, _, port = address.rpartition(":")
        self._http = _Http((host, int(port)), _Handler)
        self._http.app = app
        threading.Thread(target=self._http.serve_forever, args=(0.05,), daemon=True).start()

    def close(self):
        self._http.shutdown()
        self._http.server_close()


class EngineDoor:
    """One engine on its address; `close` ends it at once, whatever it runs.  Each
    request takes the next of `faults`, if there is one.  `observe(engine, handler, body)`
    is told of each request that begins to run."""

    def __init__(self, engine, observe=None):
        self.engine, self._observe = engine, observe
        self._changed = threading.Condition(threading.Lock())
        self.faults, self._previous = deque(), b""
        self._answering = Answering(engine.address, self._app)

    def close(self):
        with self._changed:
            self.engine.state = "gone"
            self._changed.notify_all()
        self._answering.close()

    def _app(self, handler, body):
        e, head = self.engine, handler.headers
        if e.state == "gone":
            raise ConnectionAbortedError
        if handler.path == "/report":
            with self._changed:
                told = core.report(e, now_ms())
            reply(handler, 200, ("Content-Type: application/json",), json.dumps(told).encode())
        elif handler.path == "/order":
            with _ONE, self._changed:
                code = core.order(e, now_ms(), json.loads(body), head.get("X-Expect-Engine", ""))
            reply(handler, code)
        elif handler.path == "/health":
            reply(
                handler,
                200 if e.state == "open" else 503,
                (f"X-Engine: {e.id}", f"X-Warmup-Ms: {core.warm_left(e, now_ms()):.0f}"),
            )
        else:
            self._request(handler, body)

    def _request(self, handler, body):
        asked = _asked(handler)
        if "X-Credential" in handler.headers:
            self.engine.wrong.append((now_ms(), "was told a key", asked.id))
        fault = self.faults.popleft() if self.faults else None
        if fault is platform_faults.Fault.RESET_UNRUN:
            return platform_faults.reset(handler)
        if fault in platform_faults.NOT_RUN:
            told = (f"X-Try-Id: {asked.id}", "X-Not-Run: fault")
            return reply(handler, platform_faults.NOT_RUN[fault], told)
        with self._changed:
            code = core.admit(self.engine, now_ms(), asked)
        stamp = (f"X-Try-Id: {asked.id}", f"X-Postmark: {self.engine.id}.{len(body)}.{asked.id}")
        if code:
            return reply(handler, code, (stamp[0], "X-Not-Run: refused"))
        try:
            missing = self._begin(asked)
            if missing is None:
                return reply(handler, 503, (stamp[0], "X-Not-Run: late"))
            if self._observe is not None:
                self._observe(self.engine, handler, body)
            if fault is not None:
                return self._misbehave(handler, asked, body, stamp, fault)
            return self._run(handler, asked, body, stamp, missing)
        finally:
            with self._changed:
                core.finish(self.engine, now_ms(), asked)
                self._changed.notify_all()

    def _begin(self, asked):
        """Wait for a slot; tokens to be read, or None if the deadline passed before."""
        with self._changed:
            while not core.may_start(self.engine, asked):
                left_ms = asked.end_ms - now_ms()
                if left_ms <= 0 or self.engine.state == "gone":
                    return None
                self._changed.wait(left_ms / 1000)
            return core.start(self.engine, now_ms(), asked)

    def _run(self, handler, asked, body, stamp, missing):
        if not self._streams(asked):
            self._pause(self.engine.sizes.work_ms)
            answer = _whole(stamp, _plain_body(handler, asked, body))
            handler.wfile.write(answer)
            self._previous = answer
            return
        self._pause(core.read_ms(self.engine, missing))
        reply(handler, 200, (*stamp, *_STREAM, "Transfer-Encoding: chunked"), length=False)
        for turn, event in enumerate(self._events(asked)):
            if turn:
                self._pause(core.event_ms(self.engine))
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
        handler.wfile.write(b"0\r\n\r\n")

    def _streams(self, asked):
        """A plain engine streams as well, if tokens are asked for."""
        return not self.engine.plain or asked.most > 0

    def _events(self, asked):
        events = -(-asked.most // self.engine.sizes.event_tokens)
        for number in range(asked.after + 1, events + 1):
            yield f"id: {number}\ndata: {asked.id}:{number}:{events}\n\n".encode()

    def _misbehave(self, handler, asked, body, stamp, fault):
        """The same answer at once, and whatever the fault makes of it."""
        if self._streams(asked):
            good = _whole((*stamp, *_STREAM), b"".join(self._events(asked)))
        else:
            good = _whole(stamp, _plain_body(handler, asked, body))
        platform_faults.deliver(handler, fault, good, self._previous)
        self._previous = good

    def _pause(self, pauseMs):
        time.sleep(pauseMs / 1000)
        if self.engine.state == "gone":
            raise ConnectionAbortedError


def _asked(handler):
    head = handler.headers
    model, _, adapter = head.get("X-Parcel", "").partition("/")
    parts = tuple(
        (p, int(t))
        for p, _, t in (
            word.partition(":") for word in head.get("X-Prompt-Prefix", "").split(",") if word
        )
    )
    prompt, _, most = head.get("X-Tokens", "0,0").partition(",")
    return core.Asked(
        head.get("X-Try-Id", ""),
        handler.command,
        handler.path,
        head.get("Host", ""),
        head.get("X-Expect-Engine", ""),
        model,
        adapter,
        parts,
        int(prompt) + int(most),
        int(most),
        int(head.get("X-Mail-Class", 5)),
        int(head.get("Last-Event-Id", 0)),
        now_ms() + int(head.get("X-Deadline-Ms", 30000)),
        ",".join(head.get_all("X-Sender")) if "X-Sender" in head else None,
    )
