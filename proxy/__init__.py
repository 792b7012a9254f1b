"""The real proxy round the decision module of balancing: sockets, time and bookkeeping, no decisions."""
