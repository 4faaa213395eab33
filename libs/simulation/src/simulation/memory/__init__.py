"""Runs of real processes that show how much memory each role takes under the largest input."""
