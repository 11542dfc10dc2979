"""Tests of the edge."""
