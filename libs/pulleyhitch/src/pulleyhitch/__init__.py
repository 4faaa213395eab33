"""pulleyhitch: a shared floor for many models; router and placer."""

__all__ = ["VERSION"]
VERSION = "0.1.0"
