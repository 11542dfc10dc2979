"""Stand-ins for what surrounds the system: platform, fabric, backend server, caller.

Each is a program of its own (``python -m standins.NAME``) which prints
``ready ADDRESS...`` on standard output once it listens.
"""
