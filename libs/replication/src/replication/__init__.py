"""The replicated log: shared batches, leases, snapshots, and the feed of it."""

__all__ = ["depot", "disk", "follower", "group", "shard_log", "state_machine"]
