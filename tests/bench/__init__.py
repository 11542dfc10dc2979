"""Tests of the measurements and of flows under changes."""
