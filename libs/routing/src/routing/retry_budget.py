"""How many attempts may follow the first ones: a part of a service's own requests.

Each service has a budget of its own, since the bound is one for each service: what the
requests for one service earn must not be spent at another one whose engines fail.  Every
router keeps to its part of what all of them together may spend.
"""

import math
from dataclasses import dataclass

__all__ = ["RetryBudget", "count_request", "may_retry", "retry_allowed"]


@dataclass
class RetryBudget:
    """Requests and the attempts beyond their first, both fading over one window."""

    requests: float = 0.0
    retries: float = 0.0
    at_ms: float = 0.0


def _fade(budget, now_ms, window_ms):
    kept = math.exp(-max(0.0, now_ms - budget.at_ms) / window_ms)
    budget.requests *= kept
    budget.retries *= kept
    budget.at_ms = now_ms


def count_request(router, now_ms, service):
    """A request for a service has come in."""
    budget = router.retry_budgets.setdefault(service, RetryBudget())
    _fade(budget, now_ms, router.settings.retryWindowMs)
    budget.requests += 1


def may_retry(budget, now_ms, settings, allowance, peek=False):
    """Whether one more attempt keeps within its share of the requests of the last while
    and the allowance beside it; the one that does is counted unless it's a peek."""
    _fade(budget, now_ms, settings.retryWindowMs)
    if budget.retries + 1 > allowance + settings.retryRatio * budget.requests:
        return False
    budget.retries += not peek
    return True


def retry_allowed(router, now_ms, service, age_ms, nodes, peek=False):
    """Whether a request for a service may be sent once more, on a layout of that age."""
    if age_ms > router.settings.staleMs:
        return False
    allowance = max(1.0, router.settings.retryAllowance / max(1, len(nodes.names)))
    budget = router.retry_budgets.setdefault(service, RetryBudget())
    return may_retry(budget, now_ms, router.settings, allowance, peek)
