"""The seeded simulator: the same cores, in virtual time, under faults."""

__all__ = ["run"]
