"""Routing callers' tasks to engines: legs, streams, and their HTTP shapes."""

__all__ = ["caller_api", "engine_api", "engine_calls", "pieces", "router", "serving"]
