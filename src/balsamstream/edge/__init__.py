"""Application protocols of callers and backend servers."""
