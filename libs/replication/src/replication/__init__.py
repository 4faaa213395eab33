"""The replicated log of the depots: elections, shared batches, leases, snapshots and the feed.

A depot is a node that keeps a copy of the log; a counter is a node that routes requests
and may hold the lease of a shard.
"""

__all__ = ["depot", "disk", "follower", "group", "shard_log", "state_machine"]
