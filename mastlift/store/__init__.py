"""A revisioned key-value state machine. Pure: commands in, results and changes out; no clock, no disk, no socket.

`commands` is what goes through the log, `machine` applies it, `history` remembers the last changes, `sessions` the
first results of numbered commands, `leases` tells when a lease is over.
"""
