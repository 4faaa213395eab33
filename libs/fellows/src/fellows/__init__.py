"""Membership: how nodes find one another, and who watches whom."""

__all__ = ["circle"]
