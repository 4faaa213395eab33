"""Decides which engine holds which model and adapter, and orders loads and unloads."""

__all__ = ["ledger", "placement", "placer", "registry_view"]
