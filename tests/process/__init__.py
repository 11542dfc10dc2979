"""Daemons, stand-ins and callers as processes, judged from the latter's records."""
