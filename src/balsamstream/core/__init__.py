"""Pure decisions: typed events and a time go in, typed actions come out."""
