"""Tests of the declared objects."""
