"""The commands `mastlift servers` and `mastlift serve-as`."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import Annotated, Any

import typer
from msgspec import json as mjson

from mastlift.keeper.command import BAD_CALL, DEFAULT_KEEPER, NO, Keepers, fail, with_keeper
from mastlift.logs import LogFormat, start_logging

app = typer.Typer(help="Show, drain and remove the servers in the lists for proxies.", no_args_is_help=True)
WITHIN_S = 10.0
Json = Annotated[bool, typer.Option("--json", help="One JSON object a line, for programs.")]
Server = Annotated[str, typer.Argument(help="TIER/ID")]


def _named(server: str) -> tuple[str, str]:
    tier, _, id_ = server.partition("/")
    if not tier or not id_ or "/" in id_:
        fail(BAD_CALL, f"'{server}' is not a server name: write TIER/ID as `servers ls` shows it")
    return tier, id_


def serve_as(
    command: Annotated[list[str], typer.Argument(help="-- COMMAND ARGS")],
    tier: Annotated[str, typer.Option(help="The tier in whose list the server is registered.")],
    id_: Annotated[str, typer.Option("--id", help="The server's id; keep it the same after a restart.")],
    address: Annotated[str, typer.Option(help="HOST:PORT on which COMMAND listens.")],
    zone: Annotated[str, typer.Option()] = "",
    kind: Annotated[str, typer.Option()] = "",
    weight: Annotated[float, typer.Option(min=0.0)] = 1.0,
    cell: Annotated[int, typer.Option()] = 0,
    ttl: Annotated[
        float, typer.Option(min=0.5, help="Lease time in seconds: a server that does not renew is removed after it.")
    ] = 10.0,
    ready: Annotated[
        float, typer.Option(min=0.1, help="Seconds within which COMMAND has to respond for the first time.")
    ] = 60.0,
    drain: Annotated[
        float, typer.Option(min=0.0, help="Seconds from publishing the terminating phase to SIGTERM.")
    ] = 0.5,
    grace: Annotated[float, typer.Option(min=0.0, help="Seconds from SIGTERM to SIGKILL.")] = 10.0,
    keepers: Keepers = DEFAULT_KEEPER,
) -> None:
    """Run COMMAND as a server of a tier: listed once it returns 200 at /up or /alive, shown as terminating before it
    gets SIGTERM, removed when it has exited.

    Exit code: COMMAND's own; 0 on SIGTERM; 1 if it never responded or another server registered its id."""
    from mastlift.discovery.lists import ServerRecord
    from mastlift.discovery.registration import ServerListing
    from mastlift.discovery.serve_as import Times
    from mastlift.discovery.serve_as import serve_as as serve_as_
    from mastlift.settings import BadSettings
    from mastlift.settings import address as address_

    start_logging(LogFormat.AUTO)
    try:
        address_(address, "--address")
    except BadSettings as error:
        fail(BAD_CALL, error)
    for what, name in (("--tier", tier), ("--id", id_)):
        if not name or "/" in name or not name.isprintable():
            fail(BAD_CALL, f"{what}: '{name}' is not a valid name: use printable characters without /")
    listing = ServerListing(tier, id_, ServerRecord(address, zone, kind, cell, weight))

    async def work(client: Any) -> int:
        stop_requested, loop = asyncio.Event(), asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop_requested.set)
        try:
            return await serve_as_(
                client, listing, command, stop_requested, Times(ready, drain, grace), int(ttl * 1000)
            )
        except FileNotFoundError as error:
            fail(BAD_CALL, f"{command[0]}: {error.strerror}")

    raise typer.Exit(with_keeper(keepers, max(5.0, ttl), work))


@app.command()
def ls(tier: Annotated[str, typer.Argument()] = "", keepers: Keepers = DEFAULT_KEEPER, json: Json = False) -> None:
    """Each server with its phase, address and age, and how many stay listed although their leases expired."""
    from rich.console import Console
    from rich.table import Table

    from mastlift.discovery import registration as r
    from mastlift.discovery.lists import member_of
    from mastlift.keeper.client import ask_each

    rows = with_keeper(keepers, WITHIN_S, lambda client: r.servers(client, tier))
    statuses = asyncio.run(ask_each([name.strip() for name in keepers.split(",")], "/v1/status", 2.0))
    held: dict[str, int] = {}
    for status in statuses.values():
        held |= status.get("discovery", {}).get("held", {})
    table, now = Table("server", "phase", "address", "zone", "kind", "weight", "started", box=None), time.time()
    for row in rows:
        server_record = row.record
        phase = member_of(row.id, mjson.encode(server_record), row.drained).phase.value + (
            " (drained)" if row.drained else ""
        )
        if json:
            typer.echo(
                mjson.encode(
                    {
                        "tier": row.tier,
                        "id": row.id,
                        "drained": row.drained,
                        "shown": phase,
                        "held": held.get(row.tier, 0),
                        **mjson.decode(mjson.encode(server_record)),
                    }
                ).decode()
            )
        else:
            age = f"{now - server_record.up_since_ms / 1000.0:.0f} s ago" if server_record.up_since_ms else "long ago"
            table.add_row(
                f"{row.tier}/{row.id}",
                phase,
                server_record.host_port,
                server_record.locality,
                server_record.flavor,
                f"{server_record.size:g}",
                age,
            )
    if not json:
        Console(width=160).print(table)
        for name, count in sorted(held.items()):
            typer.echo(f"HELD: {count} servers of {name} are silent and stay listed, since too many went at once")


@app.command()
def watch(
    tier: str,
    count: Annotated[int, typer.Option(help="Exit after this many changes; 0: never.")] = 0,
    keepers: Keepers = DEFAULT_KEEPER,
    json: Json = False,
) -> None:
    """Print the changes of a tier's list as they happen."""
    from mastlift.discovery.lists import LIST
    from mastlift.keeper.watch import follow

    async def work(client: Any) -> None:
        printed = 0
        async for event in follow(client, f"{LIST}{tier}/"):
            for change in event.changes:
                printed += 1
                id_ = change["key"].removeprefix(f"{LIST}{tier}/")
                server_fields = mjson.decode(change["value"]) if "value" in change else {"phase": "terminated"}
                typer.echo(
                    mjson.encode({"id": id_, "revision": change["changed"], **server_fields}).decode()
                    if json
                    else f"{change['changed']}\t{id_}\t{server_fields['phase']}\t{server_fields.get('host_port', '')}"
                )
                if printed == count:
                    return

    with_keeper(keepers, WITHIN_S, work)


@app.command()
def drain(server: Server, keepers: Keepers = DEFAULT_KEEPER) -> None:
    """Show a server as terminating until `undrain`, also if it restarts. Exit code 1: there is no such server."""
    from mastlift.discovery import registration as r

    tier, id_ = _named(server)
    revision = with_keeper(keepers, WITHIN_S, lambda client: r.drain(client, tier, id_))
    if revision is None:
        fail(NO, f"no server {server}; `servers ls` shows them")
    typer.echo(f"{server} is drained from revision {revision} on")


@app.command()
def undrain(server: Server, keepers: Keepers = DEFAULT_KEEPER) -> None:
    """End a drain. Exit code 1: the server was not drained."""
    from mastlift.discovery import registration as r

    tier, id_ = _named(server)
    if not with_keeper(keepers, WITHIN_S, lambda client: r.undrain(client, tier, id_)):
        fail(NO, f"{server} is not drained")


@app.command()
def rm(server: Server, keepers: Keepers = DEFAULT_KEEPER) -> None:
    """Remove a server from the list now, also a held one. A live server registers again: drain it instead."""
    from mastlift.discovery import registration as r

    tier, id_ = _named(server)
    if not with_keeper(keepers, WITHIN_S, lambda client: r.remove(client, tier, id_)):
        fail(NO, f"no server {server}; `servers ls` shows them")
