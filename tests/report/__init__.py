"""Tests of the report on error budgets."""
