"""The daemon: a balancer on an entry VM or an agent beside a backend server."""
