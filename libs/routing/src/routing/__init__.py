"""Routes requests to engines: choice of engine, attempts and retries, streams, and the HTTP shapes
of both sides."""

__all__ = ["caller_api", "engine_api", "engine_calls", "pieces", "router", "serving"]
