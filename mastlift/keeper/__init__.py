"""The process `mastlift keeper`: the store behind HTTP, kept on its own disk, and the client to it.

`config` is its settings, `order` where commands get their order from, `service` the state with its leases, watches and
snapshots, `http` the calls, `process` start and end, `client` the other side.
"""
