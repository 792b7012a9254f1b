"""What runs a fleet of proxy proxies and their servers through failures. `mastlift --help` shows the way in."""
