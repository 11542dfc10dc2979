"""Tests of the decisions, and the small fakes they run on."""
