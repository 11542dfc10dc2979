"""Encoding, fragmentation and authentication of messages between the daemons."""
