"""The product's HTTP interface for callers: requests, responses and event streams.

    POST /v1/task            {"service", "model", "adapter"?, "class"?, "prompt",
                              "stream"?, "deadlineMs"?, "id"?}
    POST /v1/route/<name>    the same, service and model taken from the layout
    GET  /v1/lookup/<service>/<key>     a lookup at a service without models; safe to repeat

Responses are JSON.  Streams are server-sent events with one numbered piece each,
ended by an event `done`.  A stream that is cut ends with an event `failure`, and
the connection is closed, so that it never looks complete.
"""

import json
import secrets

from configuration.schema import RANK
from transport import failures
from werkzeug.wrappers import Response

__all__ = [
    "read_task",
    "read_lookup",
    "failure_response",
    "json_response",
    "stream_response",
    "sse_event",
    "LIMIT_BYTES",
]

LIMIT_BYTES = 1 << 20
_TASK_FIELDS = {"service", "model", "adapter", "class", "prompt", "stream", "deadlineMs", "id"}


def read_body(request, limitBytes=LIMIT_BYTES):
    """The JSON object in the body of a request, or a Failure."""
    if (request.content_length or 0) > limitBytes:
        return failures.BodyOversized(limitBytes)
    data = request.stream.read(limitBytes + 1) if request.content_length else b""
    if len(data) > limitBytes:
        return failures.BodyOversized(limitBytes)
    if request.content_length and len(data) < request.content_length:
        return failures.BodyMalformed("cut short")
    try:
        body = json.loads(data)
    except (ValueError, RecursionError):
        return failures.BodyMalformed("not JSON")
    return body if isinstance(body, dict) else failures.BodyMalformed("not an object")


def read_task(body, route, deadlineMs):
    """The fields of a task from a caller's body, or a Failure that names the wrong field.  Service
    and model come from `route` if it is given."""
    for key in body:
        if key not in _TASK_FIELDS:
            return failures.FieldWrong(key, "unknown key")
    task = {**body, **{k: v for k, v in (route or {}).items() if v}}
    for key, default in (
        ("service", None),
        ("model", ""),
        ("adapter", ""),
        ("class", "update"),
        ("prompt", None),
        ("id", ""),
    ):
        value = task.setdefault(key, default)
        if not isinstance(value, str):
            return failures.FieldWrong(key, "missing" if value is None else "not a text")
    if task["class"] not in RANK:
        return failures.FieldWrong("class", "not one of " + ", ".join(sorted(RANK)))
    if len(task["id"]) > 128:
        return failures.FieldWrong("id", "longer than 128")
    if not isinstance(task.setdefault("stream", False), bool):
        return failures.FieldWrong("stream", "not true or false")
    deadline_ms = task.setdefault("deadlineMs", deadlineMs)
    if (
        not isinstance(deadline_ms, int)
        or isinstance(deadline_ms, bool)
        or not 1 <= deadline_ms <= 3_600_000
    ):
        return failures.FieldWrong("deadlineMs", "not a whole number from 1 to 3600000")
    task["id"] = ".".join(filter(None, (task["id"], secrets.token_hex(8))))
    task["repeatable"] = False
    return task


def read_lookup(service, key, deadlineMs):
    """The fields of a task for a lookup, which is safe to repeat."""
    return {
        "service": service,
        "model": "",
        "adapter": "",
        "class": "lookup",
        "prompt": "",
        "stream": False,
        "deadlineMs": deadlineMs,
        "id": secrets.token_hex(12),
        "repeatable": True,
        "key": key,
    }


def failure_response(failure):
    """The response for a Failure, with Retry-After where it has one."""
    response = json_response(failures.as_json(failure), failure.status)
    seconds = failures.retry_after(failure)
    if seconds is not None:
        response.headers["Retry-After"] = str(seconds)
    return response


def json_response(body, status=200):
    """A response with a JSON body."""
    return Response(json.dumps(body) + "\n", status, content_type="application/json")


def sse_event(kind, body, number=None):
    """One server-sent event as bytes; `number` becomes its id."""
    id_line = f"id: {number}\n" if number is not None else ""
    return f"{id_line}event: {kind}\ndata: {json.dumps(body)}\n\n".encode()


def stream_response(chunks):
    """A response that streams server-sent events."""
    return Response(
        chunks,
        200,
        content_type="text/event-stream",
        headers={"Cache-Control": "no-store"},
        direct_passthrough=True,
    )
