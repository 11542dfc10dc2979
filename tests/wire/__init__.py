"""Tests of the encoding, fragmentation and authentication of messages."""
