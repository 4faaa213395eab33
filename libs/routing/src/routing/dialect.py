"""The functions that adapt the router to a platform's own HTTP interface.

The product has its own HTTP interface (`caller_api`, `engine_api`).  For a platform with a
different one, the platform's adapter supplies the functions of a `Dialect` instead.  They
translate names, formats and calls and make no decisions.
"""

from dataclasses import dataclass
from typing import Callable

__all__ = ["Dialect"]


@dataclass(frozen=True)
class Dialect:
    """`reader`: a `configuration.documents.Reader`.

    engine_request(url, verb, body) -> engine_api.EngineRequest of a load, unload, report or list
    read_engine_response(verb, body, code, data) -> dict that the placer understands
    read_caller_request(request, path) -> dict of the request's fields, or a Failure
    attempt_headers(request, attempt, resume_from) -> header lines of an attempt
    classify_response(request, head) -> "ours" (the engine's response to this request),
        "not-run" (proof that it hasn't run) or "foreign" (anything else)
    refusal(failure) -> (status, headers, body) of the final response for a Failure
    event_id(event) -> the number of a complete event of a stream, or None
    read_operator_request(request) -> (verb, body) or a Failure
    operator_response(verb, outcome) -> (status, headers, body)
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
