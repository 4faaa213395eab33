"""The product's HTTP interface to engines: requests and the reading of responses.

    POST /load, /unload   an order; 202 accepted, 409 refused
    GET  /report          {"incarnation", "roomMb", "adapterPlaces", "items"}
    POST /task            a task; the response is JSON, for a stream one JSON piece a line
    POST /resume          {"task", "run", "incarnation", "from"}: the rest of a run
                          whose first piece had "resumes": true
    GET  /lookup/<key>    a lookup at an engine without models

A response {"refused": ...} is the engine's assurance that the task has not run.
"""

import json
from urllib.parse import quote

__all__ = [
    "EngineRequest",
    "order_request",
    "task_request",
    "resume_request",
    "read_task_response",
    "is_refusal",
    "read_pieces",
    "read_json",
]

from dataclasses import dataclass


@dataclass(frozen=True)
class EngineRequest:
    """An HTTP request to an engine."""

    method: str
    url: str
    body: bytes
    headers: tuple = ()


def order_request(url, verb, body):
    """The request for a load, an unload or a report."""
    if verb == "report":
        return EngineRequest("GET", url + "/report", b"")
    return EngineRequest("POST", f"{url}/{verb}", json.dumps(body).encode())


def task_request(url, task):
    """The request that runs a task or a lookup."""
    if "key" in task:
        return EngineRequest(
            "GET", f"{url}/lookup/{quote(task['key'], safe='')}?task={task['id']}", b""
        )
    return EngineRequest(
        "POST",
        url + "/task",
        json.dumps(
            {
                "task": task["id"],
                "model": task["model"],
                "adapter": task["adapter"],
                "class": task["class"],
                "prompt": task["prompt"],
                "stream": task["stream"],
            }
        ).encode(),
    )


def resume_request(url, run):
    """The request for the rest of a run, from its next piece."""
    return EngineRequest(
        "POST",
        url + "/resume",
        json.dumps(
            {"task": run.task, "run": run.run, "incarnation": run.incarnation, "from": run.next}
        ).encode(),
    )


def read_json(data):
    """The JSON object in `data`, or None."""
    try:
        found = json.loads(data)
    except (ValueError, RecursionError):
        return None
    return found if isinstance(found, dict) else None


def is_refusal(code, data):
    """Whether a response proves that the task has not run."""
    if code < 400:
        return False
    body = read_json(data)
    return bool(body) and isinstance(body.get("refused"), str)


def read_task_response(task, data):
    """The complete response to this task, or None if `data` is anything else."""
    body = read_json(data)
    if body is None or body.get("task") != task["id"] or body.get("complete") is not True:
        return None
    return body


def read_pieces(buffer, data):
    """The complete pieces of a stream so far; an incomplete one stays in the buffer."""
    buffer += data
    found = []
    while (end := buffer.find(b"\n")) >= 0:
        found.append(read_json(bytes(buffer[:end])))
        del buffer[: end + 1]
    return found
