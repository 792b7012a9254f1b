"""What runs a fleet of cometdoor proxies and their servers through failures. `mastlift --help` shows the way in."""
