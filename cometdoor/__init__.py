"""The former name of `proxy`, kept for one release."""
