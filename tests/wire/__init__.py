"""Tests of the wire formats."""
