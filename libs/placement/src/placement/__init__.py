"""Placement, orders, and the line of tasks whose model is coming up."""

__all__ = ["ledger", "placement", "placer", "world"]
