"""A key-value state machine with revisions. It maps commands to results and changes and performs no I/O.

`commands` defines the commands that are written to the log, `machine` applies them, `history` holds the recent changes,
`sessions` holds the results of numbered commands, and `leases` tracks the expiry of leases.
"""
