"""Messages between processes, their encoding and connections, and types that all libraries share.

`events` and `effects` are the input and output of the state machines, `failures` the typed
errors.
"""

__all__ = ["codec", "effects", "events", "failures", "frames", "messages"]
