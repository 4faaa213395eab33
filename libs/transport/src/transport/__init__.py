"""Frames, messages, failures and the words cores and shells share."""

__all__ = ["codec", "effects", "events", "failures", "frames", "messages"]
