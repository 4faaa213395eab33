"""Routing callers' tasks to engines: legs, streams, and their HTTP shapes."""

__all__ = ["callers", "engines", "legs", "pieces", "router", "serving"]
