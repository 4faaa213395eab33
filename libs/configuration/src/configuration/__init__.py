"""Configurations (layouts): their schema, validation, merging, and the registry in shard 0."""

__all__ = ["merging", "registry", "schema", "templates"]
