"""Membership: the table of known nodes, gossip between them, and failure detection."""

__all__ = ["peer_table"]
