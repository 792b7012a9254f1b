"""The proxy process around the balancer: sockets, timers and bookkeeping. Load balancing is decided in `balancing`."""
