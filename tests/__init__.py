"""Tests of balsamstream."""
