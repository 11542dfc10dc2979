"""Tests of the stand-ins, mostly against each other."""
