"""Configuration of services, distributed to their proxies and confirmed there.

`versions` says what a version is and what it may contain, `core` is the agent's state machine; both are pure. `agent`
drives the core beside a proxy, `endpoint` talks to the proxy, `saved` is what the agent keeps on disk; `checks`,
`operations` and `cli` are the operators' side.
"""
