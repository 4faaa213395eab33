"""Proof only: stand-in engines and callers, a fleet of processes, a simulator."""

__all__ = ["deployments", "engine", "fleet"]
