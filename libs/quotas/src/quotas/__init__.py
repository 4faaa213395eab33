"""Rate limits of tenants over all nodes: token buckets whose tokens are leased."""
