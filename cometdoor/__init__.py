"""Deprecated alias of the `proxy` package, kept for one release. Only `python -m cometdoor` is supported."""
