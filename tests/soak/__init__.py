"""Tests of the soak, with short seeded runs."""
