"""A dialect: how a platform's callers, engines and operators put what we mean.

The product speaks its own shapes (`callers`, `engines`).  On a platform with
shapes of its own, its adapter gives these functions instead; they translate
names, formats and calls, and decide nothing.
"""

from dataclasses import dataclass
from typing import Callable

__all__ = ["Dialect"]


@dataclass(frozen=True)
class Dialect:
    """`reader`: a `manifest.written.Reader`.

    call_ask(url, verb, told) -> engines.Ask of a load, unload, report or list
    read_call(verb, told, code, data) -> dict that the placer understands
    read_caller(request, path) -> told, the facts of a task, or a Failure
    leg_headers(told, leg, resumeFrom) -> header lines of a leg
    judged(told, code, headers) -> "ours", "not-run" or "foreign"
    refusal(failure) -> (status, headers, body) of our own final answer
    event_id(event) -> the number of a whole event of a stream, or None
    read_operator(request) -> (verb, body) or a Failure
    operator_answer(verb, outcome) -> (status, headers, body)
    """

    reader: object
    engine_request: Callable
    read_engine_response: Callable
    read_caller_request: Callable
    attempt_headers: Callable
    classify_response: Callable
    refusal: Callable
    event_id: Callable
    read_operator_request: Callable
    operator_response: Callable
