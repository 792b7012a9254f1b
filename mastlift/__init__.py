"""Control plane of a fleet of proxies and their servers. `mastlift --help` lists the commands."""
