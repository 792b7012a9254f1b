"""Deprecated alias of `python -m balancing.simhost`, kept for one release."""

import sys

from balancing.simhost import main

if __name__ == "__main__":
    sys.exit(main())
