"""The stand-in engine as a process: its core behind HTTP."""

import json
import secrets
import threading
import time

from werkzeug.serving import WSGIRequestHandler, make_server
from werkzeug.wrappers import Request, Response

from simulation import engine as core

__all__ = ["EngineServer"]


class _Quiet(WSGIRequestHandler):
    protocol_version = "HTTP/1.1"

    def log(self, type, message, *args):
        """Quiet."""


class EngineServer:
    """`run` serves; the core is guarded by one lock."""

    def __init__(
        self,
        name,
        port,
        roomMb,
        places,
        slots,
        plain=False,
        loadMs=400.0,
        fencing=True,
        piece_ms=15.0,
        pieces=12,
        resumes=False,
        history=None,
    ):
        self._engine = core.Engine(
            name,
            roomMb,
            places,
            slots,
            secrets.token_hex(4),
            loadMs=loadMs,
            fencing=fencing,
            plain=plain,
            resumes=resumes,
        )
        self._lock = threading.Lock()
        self._history = open(history, "a", encoding="ascii") if history else None
        self._write(k="born", incarnation=self._engine.incarnation)
        self._piece_s, self._pieces = piece_ms / 1000, pieces
        self._http = make_server(
            "127.0.0.1", port, self._app, threaded=True, request_handler=_Quiet
        )

    def _write(self, **told):
        """What reached us, kept where our own end can't take it."""
        if self._history:
            line = json.dumps({"atMs": time.monotonic() * 1000, **told})
            self._history.write(line + "\n")
            self._history.flush()

    def run(self):
        self._http.serve_forever(poll_interval=0.2)

    def _app(self, environ, start_response):
        request = Request(environ)
        return self._answer(request)(environ, start_response)

    def _answer(self, request):
        now_ms, path = time.monotonic() * 1000, request.path
        if path == "/report":
            with self._lock:
                return _json(core.report(self._engine, now_ms))
        if path == "/counts":
            with self._lock:
                e = self._engine
                return _json(
                    {
                        "ran": e.ran,
                        "loads": e.loads,
                        "overRoom": e.overRoom,
                        "mostRunning": e.mostRunning,
                        "fenced": e.fenced,
                    }
                )
        if path in ("/load", "/unload"):
            with self._lock:
                asked = request.get_json()
                status, body = core.order(self._engine, now_ms, path[1:], asked)
                self._write(
                    k="order",
                    verb=path[1:],
                    shard=asked["shard"],
                    epoch=asked["epoch"],
                    item=asked["item"],
                    code=status,
                    why=body.get("refused", ""),
                )
            return _json(body, status)
        if path.startswith("/lookup/"):
            return self._lookup(request.args["task"], path[8:])
        if path == "/resume":
            return self._resume(request.get_json())
        return self._task(request.get_json())

    def _begin(self, task, model, adapter):
        with self._lock:
            now_ms = time.monotonic() * 1000
            why = core.can_run(self._engine, now_ms, model, adapter)
            if why:
                return None, why
            run = core.begin(self._engine, now_ms, task)
            self._write(k="begun", task=task, running=self._engine.running)
            return run, None

    def _finish(self):
        with self._lock:
            core.finish(self._engine)

    def _lookup(self, task, key):
        run, why = self._begin(task, "", "")
        if why:
            return _json({"refused": why}, 503)
        try:
            return _json(
                {
                    "task": task,
                    "run": run,
                    "complete": True,
                    "key": key,
                    "engine": self._engine.name,
                }
            )
        finally:
            self._finish()

    def _task(self, body):
        run, why = self._begin(body["task"], body["model"], body["adapter"])
        if why:
            return _json({"refused": why}, 503)
        if body["stream"]:
            return self._streamed(body["task"], run, time.monotonic() * 1000, 0)
        try:
            time.sleep(self._piece_s * 2)
            return _json(
                {
                    "task": body["task"],
                    "run": run,
                    "complete": True,
                    "text": f"{body['model']}: {body['prompt'][:40]}",
                    "engine": self._engine.name,
                }
            )
        finally:
            self._finish()

    def _resume(self, body):
        with self._lock:
            start_ms = core.resume(self._engine, body)
            if start_ms is None:
                return _json({"refused": "unknown-run"}, 409)
            self._engine.running += 1
        return self._streamed(body["task"], body["run"], start_ms, body["from"])

    def _streamed(self, task, run, start_ms, first):
        return Response(
            self._stream(task, run, start_ms, first), 200, content_type="application/x-ndjson"
        )

    def _stream(self, task, run, start_ms, first):
        """Pieces have their times; whoever resumes waits for the next one's."""
        told = (
            {"incarnation": self._engine.incarnation, "resumes": True}
            if (self._engine.resumes)
            else {}
        )
        try:
            for n in range(first, self._pieces):
                wait_ms = start_ms + 1000 * self._piece_s * n - time.monotonic() * 1000
                if wait_ms > 0:
                    time.sleep(wait_ms / 1000)
                piece = {
                    "task": task,
                    "run": run,
                    "n": n,
                    "text": f"piece {n}",
                    "last": n == self._pieces - 1,
                    **told,
                }
                yield json.dumps(piece).encode() + b"\n"
        finally:
            self._finish()


def _json(body, status=200):
    return Response(json.dumps(body), status, content_type="application/json")
