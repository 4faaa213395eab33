"""Tenants' rate limits over all nodes: token buckets at the log nodes (depots), leased to routing
nodes (counters)."""
