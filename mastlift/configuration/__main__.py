"""The agent's process: `python -m mastlift.configuration SETTINGS LOGFORMAT`, started by `mastlift config agent`.

It does not import the command line, because an agent runs beside each proxy and its memory of a few dozen megabytes
counts.
"""

from __future__ import annotations

import sys
from pathlib import Path

from mastlift.configuration.command import run
from mastlift.configuration.config import load_agent
from mastlift.durable.disk import DiskFailed, FolderInUse
from mastlift.logs import LogFormat, start_logging
from mastlift.settings import BadSettings

BAD_CALL = 2


def main(config: Path, log: LogFormat) -> int:
    """Run an agent and return the exit code. Errors are printed as one line on standard error."""
    try:
        settings = load_agent(config)
        start_logging(log)
        run(settings, config.parent)
    except (BadSettings, FolderInUse, DiskFailed) as error:
        print(f"mastlift: {' '.join(str(error).split())}", file=sys.stderr)
        return BAD_CALL
    return 0


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1]), LogFormat(sys.argv[2])))
