"""Measurements of the decisions, each beside a plain way in the same run."""
