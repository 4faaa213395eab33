"""Limits retries to a fraction of a service's own requests.

Each service has its own budget, since the limit holds for each service: requests for one service
must not pay for retries at another whose engines fail.  Every router keeps to its share of the
allowance of all routers.
"""

import math
from dataclasses import dataclass

__all__ = ["RetryBudget", "count_request", "may_retry", "retry_allowed"]


@dataclass
class RetryBudget:
    """Decaying counts of a service's requests and of its retries."""

    requests: float = 0.0
    retries: float = 0.0
    at_ms: float = 0.0


def _decay(budget, now_ms, window_ms):
    """Decay both counts to the present."""
    kept = math.exp(-max(0.0, now_ms - budget.at_ms) / window_ms)
    budget.requests *= kept
    budget.retries *= kept
    budget.at_ms = now_ms


def count_request(router, now_ms, service):
    """Count a request that has come in for a service."""
    budget = router.retry_budgets.setdefault(service, RetryBudget())
    _decay(budget, now_ms, router.settings.retryWindowMs)
    budget.requests += 1


def may_retry(budget, now_ms, settings, allowance, peek=False):
    """Whether one more retry keeps within the ratio of recent requests plus the allowance.  A
    retry that does is counted, unless `peek` is set."""
    _decay(budget, now_ms, settings.retryWindowMs)
    if budget.retries + 1 > allowance + settings.retryRatio * budget.requests:
        return False
    budget.retries += not peek
    return True


def retry_allowed(router, now_ms, service, age_ms, nodes, peek=False):
    """Whether a request for a service may be retried; never on a layout that is stale at
    `age_ms`."""
    if age_ms > router.settings.staleMs:
        return False
    allowance = max(1.0, router.settings.retryAllowance / max(1, len(nodes.names)))
    budget = router.retry_budgets.setdefault(service, RetryBudget())
    return may_retry(budget, now_ms, router.settings, allowance, peek)
