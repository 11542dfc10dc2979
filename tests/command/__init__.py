"""Tests of the operator's tool."""
