"""Membership: how nodes find one another, and who watches whom."""

__all__ = ["peer_table"]
