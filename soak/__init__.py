"""A randomized soak: real entry processes under faults from outside."""
