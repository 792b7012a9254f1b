"""The list service: which servers there are, told to proxies in the platform's own form, at every keeper.

`lists` (what is told) and `hold` (what must not go) are pure; `service` does the I/O beside a keeper; `registration`
is the server's side, `command` what runs a server under it.
"""
