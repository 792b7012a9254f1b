"""The fleet in simulated time: clients, real decisions, servers, networks. No socket, no clock but its own."""
