"""Tests of the stand-ins against each other."""
