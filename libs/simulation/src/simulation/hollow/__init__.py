"""Hollow nodes: many real cores in one process, in virtual time, each one's
messages, bytes and processor time counted by role."""
