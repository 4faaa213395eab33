"""pulleyhitch: a router and placer for engines that share many models."""

__all__ = ["VERSION"]
VERSION = "0.1.0"
