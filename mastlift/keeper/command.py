"""Shared parts of the commands that call keepers: the address option, and exit codes for errors."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Annotated, NoReturn, TypeVar

import typer

NO, BAD_CALL, DAMAGE = 1, 2, 3  # exit codes: rejected or unreachable, invalid request, damaged data
DEFAULT_KEEPER = "127.0.0.1:7500"
Keepers = Annotated[str, typer.Option("--keepers", envvar="MASTLIFT_KEEPERS", help="HOST:PORT, several by commas.")]
T = TypeVar("T")


def fail(code: int, message: object) -> NoReturn:
    """Print the message as one line on stderr and exit with the code."""
    typer.echo(f"mastlift: {' '.join(str(message).split())}", err=True)
    raise typer.Exit(code)


def with_keeper(keepers: str, within_s: float, work: Callable[..., Awaitable[T]]) -> T:
    """Run `work` with a client. Exit code 1: rejected, or no keeper answers; 2: invalid request."""
    from mastlift.keeper.client import KeeperClient, Refused, Unreachable
    from mastlift.settings import BadSettings, address

    async def run() -> T:
        names = [name.strip() for name in keepers.split(",")]
        for name in names:
            address(name, "--keepers")
        async with KeeperClient(names, within_s) as client:
            return await work(client)

    try:
        return asyncio.run(run())
    except BadSettings as error:
        fail(BAD_CALL, error)
    except Refused as refused:
        fail(BAD_CALL if refused.status in (400, 413) else NO, refused)
    except Unreachable as error:
        fail(NO, error)
