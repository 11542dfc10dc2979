"""Tests of the application protocols and the PROXY header."""
