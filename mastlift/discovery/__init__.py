"""The list service: every keeper serves the lists of servers to proxies.

`lists` (the lists and their encoding), `responder` (how to answer a call) and `removal_limit` (how many servers may
expire) perform no I/O. `service` serves the lists in a keeper's process, and `command` starts such a keeper.
`registration` is the client side of a server, and `serve_as` runs a program under a registration.
"""
