"""Decision logic without I/O: messages and a time go in, typed actions come out."""
