"""Configuration of services: versions are stored at the keepers, applied to the proxies by agents, and confirmed there.

`versions` defines a version and the file rendered from it, and `core` is the agent's state machine; both are pure.
`agent` runs the state machine beside a proxy, `endpoint` accesses the proxy, `saved` reads and writes the agent's own
files, `config` and `command` are the settings and the process of an agent. `checks`, `operations` and `cli` are for
operators.
"""
