"""Stateful random tests of the decisions of balancers and agents."""
