"""A judge of real processes: what callers sent against what engines ran."""
