"""Requests of tenants with the times at which they were sent and ended, and the exact count in
every window."""

from dataclasses import dataclass

from quotas.settings import QuotaSettings, RateLimit, max_requests

SETTINGS = QuotaSettings(5000.0, 0.1, 20.0, 6000.0, 120.0)
# How long a change of a limit may take until all nodes follow it.
SETTLED_MS = 2500.0


@dataclass
class Request:
    """A request, when its client sent it and how it ended."""

    tenant: str
    sent_ms: float
    counter: str
    outcome: str = ""
    ended_ms: float = 0.0


@dataclass
class Tenant:
    """A simulated tenant.  `limits`: (valid from, RateLimit); `load`: requests a second; `hot`:
    (from, to, factor) of a burst of load."""

    limits: list
    load: float
    hot: tuple = (0.0, 0.0, 1.0)

    def limit(self, now_ms):
        return [limit for at_ms, limit in self.limits if at_ms <= now_ms][-1]

    def rate(self, now_ms):
        from_ms, to_ms, times = self.hot
        return self.load * (times if from_ms <= now_ms < to_ms else 1.0)

    def max_requests(self, start_ms, settings):
        """The loosest bound that applies to a window starting at `start_ms`, given that limits
        change."""
        first_ms = start_ms - settings.window_ms - SETTLED_MS
        kept = [self.limit(max(0.0, first_ms))]
        kept += [x for at_ms, x in self.limits if first_ms < at_ms <= start_ms + settings.window_ms]
        return max(max_requests(settings, x.rate_per_s, x.burst) for x in kept)


def tenant(name, rate, burst, load, hot=(0.0, 0.0, 1.0)):
    return Tenant([(0.0, RateLimit(name, 1, rate, burst))], load, hot)


def worst_window(runs, tenant, settings):
    """(excess over the bound, requests, the bound) of the worst window.  Requests that were both
    sent and run in a window are counted, for each window that starts with a request."""
    runs = sorted(runs, key=lambda r: r.sent_ms)
    found = (-1e9, 0, 0.0)
    for first, request in enumerate(runs):
        end_ms = request.sent_ms + settings.window_ms
        count = 0
        for other in runs[first:]:
            if other.sent_ms > end_ms:
                break
            count += other.ended_ms <= end_ms
        allowed = tenant.max_requests(request.sent_ms, settings)
        found = max(found, (count - allowed, count, allowed))
    return found
