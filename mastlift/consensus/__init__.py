"""Raft consensus: a replicated log of commands.

`messages` defines the messages between members, `log` the in-memory log, `core` the Raft state machine without I/O,
`driver` executes its actions, `persistence` defines the records on disk, and `coalescing` shares read confirmations.
"""
