"""Passages: callers' own requests, routed by host and path and passed on unchanged.

What a caller's request asks for is told by the platform's adapter; which route
takes it, which service of its split, how long it may be held and how often it
may be sent are the layout's.
"""

from junction import router, routes
from logbook import follow as follows
from manifest import registry as registries
from waybill import failures
from waybill.effects import Reply

__all__ = ["begin", "ready"]

_OPENING = 2


def ready(node, nowMs):
    """Whether callers may come: not stopping, and the layout and engines are known."""
    return (not node.closing and not node.leaving and bool(registries.services(node.floor.registry))
            and bool(node.floor.registry.engines) and node.follow.currentMs > -1e11)


def begin(node, nowMs, token, told, crew):
    """A caller's request has come in; its first step is told to its thread."""
    if node.closing and not told.get("accepted"):
        return [Reply(token, failures.Overloaded(200, "closing"))]
    if node.follow.currentMs <= -1e11 or not registries.services(node.floor.registry):
        return [Reply(token, failures.Stale(int(2 * node.times.electMs), 0))]
    found = routes.match(node.floor.registry, told["host"], told["path"])
    if found is None:
        return [Reply(token, failures.NotFound("route"))]
    name, route = found
    task = _task(token, told, route, nowMs)
    told.update(route=name, kind=route["kind"], repeatable=task.repeatable,
                resumable=route.get("resumable", False), rank=task.rank, aimMs=task.aimMs)
    return router.begin(node.router, nowMs, node.floor, follows.age(node.follow, nowMs),
                        crew, task)


def _task(token, told, route, nowMs):
    stream = route["kind"] == "stream"
    repeatable = route["kind"] == "safe" or (stream and route.get("resumable", False))
    rank = route.get("rank", 5)
    holdMs = min(told["deadlineMs"], route["holdMs"])
    return router.Task(token, f"{token}.{told['id']}"[:80],
                       routes.service_for(route, told["id"]), told["model"],
                       told["adapter"], f"rank{rank}", "|".join(told["opening"][:_OPENING]),
                       repeatable, stream, nowMs + holdMs, rank=rank, aimMs=route["aimMs"],
                       tries=route.get("tries", 1), tokens=told["tokens"], told=True)
