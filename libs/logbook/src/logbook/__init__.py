"""The replicated log: shared batches, grants, views, and the feed of it."""

__all__ = ["book", "depot", "disk", "follow", "group", "holder"]
