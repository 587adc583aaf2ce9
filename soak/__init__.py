"""A randomized soak: the real programs as separate processes, with faults from outside them."""
