"""Stand-ins for the system's environment: platform, fabric, backend servers, callers.

Most are programs (``python -m standins.NAME``) that print ``ready ADDRESS...`` on
standard output once they accept traffic; a caller process prints its number of
callers instead of an address.
"""
