"""Validated models of what operators declare."""
