"""Encoding and authentication of messages between the system's processes."""
