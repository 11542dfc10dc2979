"""The whole path on one machine, with the operator's changes and some failures."""
