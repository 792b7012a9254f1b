"""Discrete-event simulation of clients, proxies, servers and networks; the proxies run the production balancer.

It uses no sockets and no clock but the simulated one.
"""
