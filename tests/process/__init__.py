"""Tests of daemons, stand-ins and callers as processes, checked by their records."""
