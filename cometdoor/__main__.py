"""Deprecated alias of `python -m proxy`, kept for one release."""

import sys
import warnings

from proxy.__main__ import main

if __name__ == "__main__":
    warnings.warn(
        "python -m cometdoor is now python -m proxy; the old name goes with the next release",
        FutureWarning,
        stacklevel=1,
    )
    sys.exit(main())
