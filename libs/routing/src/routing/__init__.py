"""Routes requests to engines: choice of engine, attempts and retries, streams, and the HTTP
interfaces to callers and engines."""

__all__ = ["caller_api", "engine_api", "engine_calls", "pieces", "router", "serving"]
