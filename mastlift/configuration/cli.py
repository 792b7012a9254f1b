"""The command line of configuration: `mastlift config`."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, Any, TypeVar

import typer
from msgspec import json as mjson

from mastlift.keeper.command import BAD_CALL, DEFAULT_KEEPER, NO, Keepers, fail, with_keeper
from mastlift.logs import LogFormat

HELP = """Configuration of services: store a version, see where it is in force, and revert to an older one.

See docs/configuration.md.

Exit codes: 0: success; 1: failure (another version is the newest, the version does not exist, it is not in force at
every proxy, or no keeper answered); 2: invalid arguments, file or settings, and nothing was changed."""
app = typer.Typer(help=HELP, no_args_is_help=True)
T = TypeVar("T")
TIMEOUT_S = 10.0
POLL_S = 0.25
Json = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]
Service = Annotated[str, typer.Argument(help="The service's name.")]
Expect = Annotated[
    int | None, typer.Option(min=0, help="Only if this is the newest version; 0: only if there is none.")
]


def _run(keepers: str, within_s: float, work: Callable[[Any], Awaitable[T]]) -> T:
    """Run `work` as `with_keeper` does; Conflict and NoVersion end the command with exit code 1."""
    from mastlift.configuration.operations import Conflict, NoVersion

    try:
        return with_keeper(keepers, within_s, work)
    except (Conflict, NoVersion) as error:
        fail(NO, error)


def _print_stored(version: Any, json: bool) -> None:
    if json:
        typer.echo(
            mjson.encode(
                {"service": version.service, "version": version.id.number, "history": version.id.history}
            ).decode()
        )
    else:
        typer.echo(f"{version.service}: version {version.id} is stored; see `mastlift config status {version.service}`")


@app.command()
def put(
    service: Service,
    file: Annotated[Path, typer.Argument(help="JSON with `settings` and optionally `discovery`.")],
    expect: Expect = None,
    keepers: Keepers = DEFAULT_KEEPER,
    json: Json = False,
) -> None:
    """Check a file by the rules of the proxy and store it as the next version."""
    from mastlift.configuration import operations

    try:
        data = file.read_bytes()
    except OSError as error:
        fail(BAD_CALL, f"{file}: {error.strerror}")
    _print_stored(
        _run(keepers, TIMEOUT_S, lambda client: operations.put(client, service, str(file), data, expect)), json
    )


@app.command()
def get(
    service: Service,
    version: Annotated[int | None, typer.Option(min=1, help="The version's number; default: the newest.")] = None,
    keepers: Keepers = DEFAULT_KEEPER,
    json: Json = False,
) -> None:
    """Print a version's content; with --json, the complete stored version."""
    from mastlift.configuration import operations

    one = _run(keepers, TIMEOUT_S, lambda client: operations.get(client, service, version))
    typer.echo(mjson.encode(one).decode() if json else mjson.format(mjson.encode(one.content)).decode())


@app.command()
def history(service: Service, keepers: Keepers = DEFAULT_KEEPER, json: Json = False) -> None:
    """List the stored versions, newest first."""
    from mastlift.configuration import operations

    versions = _run(keepers, TIMEOUT_S, lambda client: operations.history(client, service))
    for one in reversed(versions):
        when = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(one.put_ms / 1000.0))
        if json:
            typer.echo(
                mjson.encode(
                    {
                        "version": one.id.number,
                        "history": one.id.history,
                        "put_ms": one.put_ms,
                        "reverts_to": one.reverts_to,
                        "checksum": one.checksum,
                    }
                ).decode()
            )
        else:
            typer.echo(
                f"{one.id!s:>8}  {when}  {one.checksum[:12]}"
                + (f"  reverts to {one.reverts_to}" if one.reverts_to else "")
            )
    if not versions:
        fail(NO, f"{service} has no version yet")


@app.command()
def revert(
    service: Service,
    version: Annotated[int, typer.Argument(min=1, help="The number of a version that `history` shows.")],
    expect: Expect = None,
    keepers: Keepers = DEFAULT_KEEPER,
    json: Json = False,
) -> None:
    """Store the content of an older version as a new version."""
    from mastlift.configuration import operations

    _print_stored(_run(keepers, TIMEOUT_S, lambda client: operations.revert(client, service, version, expect)), json)


@app.command()
def status(
    service: Service,
    wait: Annotated[
        bool, typer.Option("--wait", help="Wait until every proxy has it, one refuses it, or --within ends.")
    ] = False,
    within: Annotated[float, typer.Option(min=0.0, help="Time limit of --wait in seconds.")] = 30.0,
    keepers: Keepers = DEFAULT_KEEPER,
    json: Json = False,
) -> None:
    """Show how many proxies have the newest version in force, since when, and which do not and why.

    Exit code 0 only if every proxy has it in force."""
    from mastlift.configuration import operations

    names = [name.strip() for name in keepers.split(",")]

    async def work(client: Any) -> Any:
        end = time.monotonic() + within
        while True:
            result = await operations.status(client, names, service)
            refused = any(one.condition is operations.ProxyCondition.REFUSED for one in result.proxies)
            if not wait or result.is_in_force_everywhere or refused or time.monotonic() >= end:
                return result
            await asyncio.sleep(POLL_S)

    result = _run(keepers, TIMEOUT_S, work)
    _print_json(result) if json else _print_status(result)
    if not result.is_in_force_everywhere:
        raise typer.Exit(NO)


def _print_json(result: Any) -> None:
    newest = result.newest
    typer.echo(
        mjson.encode(
            {
                "service": result.service,
                "version": newest.id.number if newest else 0,
                "in_force": len(result.up_to_date),
                "proxies": len(result.proxies),
                "everywhere": result.is_in_force_everywhere,
                "since_ms": result.latest_since_ms,
                "silent_keepers": result.silent_keepers,
                "laggards": [
                    {
                        "name": one.name,
                        "state": one.condition.value,
                        "reason": one.reason,
                        "in_force": one.in_force.number if one.in_force else None,
                        "hand_edits": one.hand_edits,
                    }
                    for one in result.laggards
                ],
            }
        ).decode()
    )


def _print_status(result: Any) -> None:
    newest, up_to_date = result.newest, result.up_to_date
    if newest is None:
        typer.echo(f"{result.service}: no version yet; {len(result.proxies)} proxies report")
    else:
        since = time.strftime("%H:%M:%S", time.localtime(result.latest_since_ms / 1000.0)) if up_to_date else ""
        took = f" (at the slowest {(result.latest_since_ms - newest.put_ms) / 1000.0:.1f} s after it was put)"
        typer.echo(
            f"{result.service}: version {newest.id} is in force at {len(up_to_date)} of {len(result.proxies)} proxies"
            + (f", at the last since {since}{took}" if up_to_date else "")
        )
    for one in result.laggards:
        version_in_force = f"has version {one.in_force}" if one.in_force else "what it has in force is not known"
        typer.echo(
            f"  {one.name}: {one.condition.value}; {version_in_force}" + (f"; {one.reason}" if one.reason else "")
        )
    for one in up_to_date:
        if one.hand_edits:
            typer.echo(f"  {one.name}: its file was edited by hand {one.hand_edits} times and put back")
    for keeper in result.silent_keepers:
        typer.echo(f"  keeper {keeper} does not answer: reports that only it has are missing")


@app.command()
def agent(
    config: Annotated[
        Path, typer.Option(help="Settings, TOML: [agent] service, name, base, file, state, control, keepers.")
    ],
    log: Annotated[LogFormat, typer.Option(help="The format of the log on standard error.")] = LogFormat.AUTO,
) -> None:
    """Run the configuration agent of one proxy, until SIGTERM. The proxy keeps running after the agent ends."""
    from mastlift.configuration.config import load_agent
    from mastlift.settings import BadSettings

    try:
        load_agent(config)
    except BadSettings as error:
        fail(BAD_CALL, error)
    # Replaces this process, which has loaded all commands, to keep the memory of the agent small.
    os.execv(sys.executable, [sys.executable, "-m", "mastlift.configuration", str(config), log.value])
