"""Configurations (layouts): their schema, validation and merging, and the registry in shard 0."""

__all__ = ["merging", "registry", "schema", "templates"]
