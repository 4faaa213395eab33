"""Layouts: their schema, their merging, and the registry kept in shard 0."""

__all__ = ["merging", "registry", "schema", "templates"]
