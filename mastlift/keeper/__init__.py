"""The process `mastlift keeper`, which serves the durable store over HTTP, and its client.

`config` defines the settings, `order` the command order of a single keeper, `group` that of a group and its
membership, `peers` the transport between members, `service` the state with leases, watches and snapshots, `http` the
API, `wire` its bodies, `reports` the agents' reports, `process` startup and shutdown. `client`, `watch` and `renewals`
are the client side.
"""
