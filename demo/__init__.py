"""Demo of the whole path on one VM, with operators' changes and some failures."""
