"""The commands `mastlift duty`."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from typing import Annotated, Any

import typer
from msgspec import json as mjson

from mastlift.keeper.command import BAD_CALL, DEFAULT_KEEPER, NO, Keepers, fail, with_keeper
from mastlift.logs import LogFormat, start_logging

app = typer.Typer(
    help="Hold, show and hand over duties, which only one process may hold at a time.", no_args_is_help=True
)
WITHIN_S = 10.0
Json = Annotated[bool, typer.Option("--json", help="One JSON object a line, for programs.")]


@app.command()
def hold(
    name: str,
    command: Annotated[list[str], typer.Argument(help="-- COMMAND ARGS")],
    ttl: Annotated[
        float, typer.Option(min=0.5, help="Lease time in seconds, after which the duty of a crashed holder passes on.")
    ] = 10.0,
    grace: Annotated[
        float | None,
        typer.Option(min=0, help="Seconds from SIGTERM to SIGKILL, within the ttl; default a fourth of it, at most 5."),
    ] = None,
    candidate: Annotated[str, typer.Option("--as", help="The name in the line; default host and process.")] = "",
    keepers: Keepers = DEFAULT_KEEPER,
) -> None:
    """Wait in line for a duty and run COMMAND while it is held, with MASTLIFT_DUTY_TOKEN in its environment.

    COMMAND's process group is ended before another candidate can get the duty; then this one waits in line again.
    Exits with COMMAND's exit code when it ends on its own, with 0 on SIGTERM."""
    from mastlift.duty.command import hold as hold_
    from mastlift.duty.guarded import NotStartedError
    from mastlift.duty.holder import Duty

    start_logging(LogFormat.AUTO)
    grace_s = min(5.0, ttl / 4) if grace is None else grace
    if grace_s > ttl / 2:
        fail(
            BAD_CALL,
            f"--grace: {grace_s:g} s is more than half of the ttl ({ttl:g} s): no time is left for COMMAND to run",
        )

    async def work(client: Any) -> int:
        stop_requested, loop = asyncio.Event(), asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop_requested.set)
        duty = Duty(client, name, candidate or f"{socket.gethostname()}-{os.getpid()}", int(ttl * 1000))
        try:
            return await hold_(duty, command, stop_requested, grace_s * 1000)
        except NotStartedError as error:
            fail(BAD_CALL, str(error))

    raise typer.Exit(with_keeper(keepers, max(5.0, ttl), work))


@app.command()
def ls(keepers: Keepers = DEFAULT_KEEPER, json: Json = False) -> None:
    """Each duty with its holder, token and the candidates in line."""
    from mastlift.duty.holder import all_duties

    duties = with_keeper(keepers, WITHIN_S, all_duties)
    for name, duty_state in duties.items():
        if json:
            typer.echo(
                mjson.encode(
                    {
                        "duty": name,
                        "holder": duty_state.holder,
                        "token": duty_state.token,
                        "line": [candidate for _, candidate in duty_state.line],
                    }
                ).decode()
            )
        else:
            typer.echo(
                f"{name:24}{duty_state.holder or '(nobody)':28}{duty_state.token:>10}  line: "
                f"{', '.join(candidate for _, candidate in duty_state.line) or '-'}"
            )


@app.command()
def watch(name: str, keepers: Keepers = DEFAULT_KEEPER, count: int = 0) -> None:
    """Print each change of holder; --count N exits after N lines."""
    from mastlift.duty.holder import watch_duty

    async def work(client: Any) -> None:
        last, line_count = None, 0
        async for duty_state in watch_duty(client, name):
            if (duty_state.holder, duty_state.token) != last:
                last, line_count = (duty_state.holder, duty_state.token), line_count + 1
                typer.echo(f"{duty_state.token}\t{duty_state.holder or '(nobody)'}")
                if line_count == count:
                    return

    with_keeper(keepers, WITHIN_S, work)


def _request_hand_over(keepers: str, name: str, to: str) -> None:
    from mastlift.duty.holder import request_hand_over

    if not with_keeper(keepers, WITHIN_S, lambda client: request_hand_over(client, name, to)):
        fail(NO, f"{name} has no holder, or {to or 'no candidate'} is not in its line")


@app.command("give-up")
def give_up(name: str, keepers: Keepers = DEFAULT_KEEPER) -> None:
    """Ask the holder to give the duty up to the next candidate in line."""
    _request_hand_over(keepers, name, "")


@app.command()
def move(name: str, to: str, keepers: Keepers = DEFAULT_KEEPER) -> None:
    """Ask the holder to give the duty up to this candidate, which must be in line."""
    _request_hand_over(keepers, name, to)


Token = Annotated[
    int,
    typer.Option(
        envvar="MASTLIFT_DUTY_TOKEN",
        min=1,
        help="The caller's token; a command run by `duty hold` has it in its environment.",
    ),
]


@app.command()
def check(name: str, token: Token, keepers: Keepers = DEFAULT_KEEPER) -> None:
    """Exit with 0 if the duty is held with this token, else with 1; one call to the keepers.

    The answer is true for the time of the call; the duty may pass on before the caller acts on it. Only a write that
    carries the token, such as `duty put`, is refused after that."""
    from mastlift.duty.holder import is_held

    if not with_keeper(keepers, WITHIN_S, lambda client: is_held(client, name, token)):
        fail(NO, f"{name}: token {token} does not hold it")


@app.command()
def put(name: str, key: str, value: str, token: Token, keepers: Keepers = DEFAULT_KEEPER) -> None:
    """Write a key if the duty is held with this token, in one call to the keepers, and print its revision.

    Exits with 1 and writes nothing if the duty is not held with this token."""
    from mastlift.duty.holder import put_while_held

    revision = with_keeper(keepers, WITHIN_S, lambda client: put_while_held(client, name, token, key, value))
    if revision is None:
        fail(NO, f"{name}: token {token} does not hold it; {key} is as it was")
    typer.echo(str(revision))
