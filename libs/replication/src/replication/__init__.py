"""The replicated log: shared batches, grants, views, and the feed of it."""

__all__ = ["depot", "disk", "follower", "group", "shard_log", "state_machine"]
