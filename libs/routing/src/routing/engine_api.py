"""Every shape of what we say to engines, and nothing else.

    POST /load, /unload   an order; 202 taken, 409 refused
    GET  /report          {"incarnation", "roomMb", "adapterPlaces", "items"}
    POST /task            a task; JSON, or one JSON piece a line for a stream
    POST /resume          {"task", "run", "incarnation", "from"}: the rest of a run
                          whose first piece said "resumes"
    GET  /lookup/<key>    a plain engine's answer

A body {"refused": ...} is the engine's word that the task has not run.
"""

import json
from urllib.parse import quote

__all__ = [
    "Ask",
    "order_ask",
    "task_ask",
    "resume_ask",
    "read_answer",
    "refused",
    "read_pieces",
    "read_json",
]

from dataclasses import dataclass


@dataclass(frozen=True)
class Ask:
    method: str
    url: str
    body: bytes
    headers: tuple = ()


def order_ask(url, verb, body):
    if verb == "report":
        return Ask("GET", url + "/report", b"")
    return Ask("POST", f"{url}/{verb}", json.dumps(body).encode())


def task_ask(url, told):
    if "key" in told:
        return Ask("GET", f"{url}/lookup/{quote(told['key'], safe='')}?task={told['id']}", b"")
    return Ask(
        "POST",
        url + "/task",
        json.dumps(
            {
                "task": told["id"],
                "model": told["model"],
                "adapter": told["adapter"],
                "class": told["class"],
                "prompt": told["prompt"],
                "stream": told["stream"],
            }
        ).encode(),
    )


def resume_ask(url, run):
    return Ask(
        "POST",
        url + "/resume",
        json.dumps(
            {"task": run.task, "run": run.run, "incarnation": run.incarnation, "from": run.next}
        ).encode(),
    )


def read_json(data):
    try:
        found = json.loads(data)
    except (ValueError, RecursionError):
        return None
    return found if isinstance(found, dict) else None


def refused(code, data):
    """Whether this answer proves that the task has not run."""
    if code < 400:
        return False
    body = read_json(data)
    return bool(body) and isinstance(body.get("refused"), str)


def read_answer(told, data):
    """The engine's answer to this very task, or None if it is not one."""
    body = read_json(data)
    if body is None or body.get("task") != told["id"] or body.get("complete") is not True:
        return None
    return body


def read_pieces(buffer, data):
    """Split streamed bytes into pieces; what is left stays in the buffer."""
    buffer += data
    found = []
    while (end := buffer.find(b"\n")) >= 0:
        found.append(read_json(bytes(buffer[:end])))
        del buffer[: end + 1]
    return found
