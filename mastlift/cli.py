"""The command line `mastlift`. The modules that a command needs are imported only when it is called."""

from __future__ import annotations

import sys
from collections.abc import Callable
from functools import wraps
from pathlib import Path
from typing import Annotated, Any, ParamSpec, TypeVar

import msgspec
import typer

from mastlift.configuration.cli import app as config_app
from mastlift.discovery.cli import app as servers_app
from mastlift.discovery.cli import serve_as
from mastlift.duty.cli import app as duty_app
from mastlift.keeper.command import BAD_CALL, DAMAGE, DEFAULT_KEEPER, NO, Keepers, fail, with_keeper
from mastlift.lab.cli import app as lab_app
from mastlift.logs import LogFormat, start_logging

P = ParamSpec("P")
R = TypeVar("R")
HELP = """Control plane of a fleet of proxies: keepers, duties, servers, configuration, and the lab that tests them.

Start with a settings file (see docs/recovery.md):  mastlift keeper run --config keeper.toml

Exit codes: 0: success, 1: failure, 2: invalid arguments or settings, 3: damaged data. Errors are printed as one line on
standard error."""

app = typer.Typer(help=HELP, no_args_is_help=True, pretty_exceptions_enable=False, add_completion=False)
keeper_app = typer.Typer(
    help="The keeper: a key-value store that survives crashes and power loss.", no_args_is_help=True
)
kv_app = typer.Typer(help="Read, write and watch keys in a keeper.", no_args_is_help=True)
state_app = typer.Typer(help="Show, check, back up and restore a keeper's folder.", no_args_is_help=True)
app.add_typer(keeper_app, name="keeper")
app.add_typer(kv_app, name="kv")
group_app = typer.Typer(help="The group of keepers: its members, its leader, and their lag.", no_args_is_help=True)
app.add_typer(state_app, name="state")
app.add_typer(group_app, name="group")
app.add_typer(duty_app, name="duty")
app.add_typer(servers_app, name="servers")
app.add_typer(config_app, name="config")
app.add_typer(lab_app, name="lab")
app.command("serve-as")(serve_as)

Json = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]
Seconds = Annotated[float, typer.Option("--within", help="Time limit in seconds.")]
Folder = Annotated[Path, typer.Argument(help="The keeper's data folder.")]


def print_json(body: Any) -> None:
    typer.echo(msgspec.json.encode(body).decode())


def one_line_errors(call: Callable[P, R]) -> Callable[P, R]:
    """Decorate a command so that errors the caller can act on are printed as one line, with an exit code and without a
    traceback."""

    @wraps(call)
    def run(*args: P.args, **kwargs: P.kwargs) -> R:
        from mastlift.durable.archive import NotEmpty
        from mastlift.durable.disk import DiskFailed, DiskFull, FolderInUse
        from mastlift.durable.frames import NewerFormat, Unreadable
        from mastlift.durable.journal import WrongFolder
        from mastlift.durable.segments import Damaged
        from mastlift.settings import BadSettings

        try:
            return call(*args, **kwargs)
        except (BadSettings, FolderInUse, WrongFolder, NewerFormat, NotEmpty, DiskFull) as error:
            fail(BAD_CALL, error)
        except Damaged as error:
            fail(DAMAGE, f'damaged: {error}. Nothing was changed; see docs/recovery.md, "damaged"')
        except Unreadable as error:
            fail(DAMAGE, f"damaged: {error}")
        except DiskFailed as error:
            fail(DAMAGE, f"the disk failed: {error}")
        except (FileNotFoundError, NotADirectoryError, PermissionError, IsADirectoryError) as error:
            fail(BAD_CALL, f"{error.filename}: {error.strerror}")
        except KeyboardInterrupt:
            fail(NO, "stopped")

    return run


@keeper_app.command("run")
@one_line_errors
def keeper_run(
    config: Annotated[Path, typer.Option(help="Settings, TOML: [keeper] name, listen, data.")],
    log: Annotated[LogFormat, typer.Option(help="The format of the log on standard error.")] = LogFormat.AUTO,
    new_group: Annotated[
        bool,
        typer.Option(
            "--new-group",
            help="Found the group of the settings with this empty folder as one of "
            "its initial members. Only for the member's first start: "
            "restart a member whose disk was emptied without this option.",
        ),
    ] = False,
) -> None:
    """Serve the store from this machine's disk until SIGTERM."""
    from mastlift.discovery.command import run_keeper

    start_logging(log)
    run_keeper(config, new_group)


@kv_app.command("put")
@one_line_errors
def kv_put(
    key: str,
    value: Annotated[str, typer.Argument(help="The value; - reads standard input.")],
    if_revision: Annotated[
        int | None,
        typer.Option(help="Only if the key last changed at this revision; 0: only if the key does not exist."),
    ] = None,
    lease: Annotated[int | None, typer.Option(help="The lease to which the key is attached.")] = None,
    keepers: Keepers = DEFAULT_KEEPER,
    within: Seconds = 10.0,
    json: Json = False,
) -> None:
    """Store a value and print the revision."""
    data = sys.stdin.buffer.read() if value == "-" else value.encode(errors="surrogateescape")
    result = with_keeper(keepers, within, lambda client: client.put(key, data, if_revision, lease))
    print_json(result) if json else typer.echo(f"{key} is stored at revision {result['revision']}")


@kv_app.command("get")
@one_line_errors
def kv_get(key: str, keepers: Keepers = DEFAULT_KEEPER, within: Seconds = 10.0, json: Json = False) -> None:
    """Print a value unchanged. Exit code 1 if the key does not exist."""
    from mastlift.keeper.wire import entry_json

    entry = with_keeper(keepers, within, lambda client: client.get(key))
    if entry is None:
        fail(NO, f"no key {key}")
    if json:
        print_json(entry_json(key, entry))
    else:
        sys.stdout.buffer.write(entry.value + (b"\n" if sys.stdout.isatty() else b""))


@kv_app.command("ls")
@one_line_errors
def kv_ls(
    prefix: Annotated[str, typer.Argument(help="Only keys with this prefix.")] = "",
    keepers: Keepers = DEFAULT_KEEPER,
    within: Seconds = 10.0,
    json: Json = False,
) -> None:
    """List keys with their revision, size and lease."""
    from rich.console import Console
    from rich.table import Table

    from mastlift.keeper.wire import value_of

    result = with_keeper(keepers, within, lambda client: client.ls(prefix))
    if json:
        return print_json(result)
    table = Table("key", "changed", "version", "bytes", "lease", box=None)
    for entry in result["entries"]:
        table.add_row(
            entry["key"],
            str(entry["changed"]),
            str(entry["version"]),
            str(len(value_of(entry))),
            str(entry["lease"] or "-"),
        )
    Console().print(table)
    typer.echo(f"{len(result['entries'])} keys at revision {result['revision']}")


@kv_app.command("rm")
@one_line_errors
def kv_rm(
    key: str,
    if_revision: int | None = None,
    keepers: Keepers = DEFAULT_KEEPER,
    within: Seconds = 10.0,
    json: Json = False,
) -> None:
    """Delete a key. Exit code 1 if the key did not exist."""
    result = with_keeper(keepers, within, lambda client: client.delete(key, if_revision))
    if json:
        print_json(result)
    if not result["deleted"]:
        fail(NO, f"no key {key}")


@kv_app.command("watch")
@one_line_errors
def kv_watch(
    prefix: Annotated[str, typer.Argument()] = "",
    after: Annotated[int | None, typer.Option(help="Start after this revision; default: with the next change.")] = None,
    count: Annotated[int, typer.Option(help="End after this number of changes; 0: no limit.")] = 0,
    keepers: Keepers = DEFAULT_KEEPER,
    within: Seconds = 10.0,
    json: Json = False,
) -> None:
    """Print changes as they arrive, each once and in order, also across restarts of the keeper."""
    from mastlift.keeper.watch import follow

    async def work(client: Any) -> None:
        seen = 0
        async for event in follow(client, prefix, after):
            for change in event.changes:
                seen += 1
                if json:
                    print_json(change)
                elif change.get("deleted"):
                    typer.echo(f"{change['changed']}\t{change['key']}\tdeleted")
                else:
                    typer.echo(f"{change['changed']}\t{change['key']}\t{change.get('value', '(bytes)')}")
                if seen == count:
                    return

    with_keeper(keepers, within, work)


def _change_group(do: str, name: str, keepers: str, within: float, json: bool) -> None:
    result = with_keeper(keepers, within, lambda client: client.change_group(do, name))
    print_json(result) if json else typer.echo(
        f"{do} {name}: voters {', '.join(result['voters'])}"
        + (f"; learners {', '.join(result['learners'])}" if result["learners"] else "")
    )


@group_app.command("status")
@one_line_errors
def group_status(keepers: Keepers = DEFAULT_KEEPER, within: Seconds = 3.0, json: Json = False) -> None:
    """Show the group's state as each named keeper reports it. Exit code 1 if none of them is the leader."""
    import asyncio

    from rich.console import Console
    from rich.table import Table

    from mastlift.keeper.client import ask_each

    result = asyncio.run(ask_each([name.strip() for name in keepers.split(",")], "/v1/group", within))
    if json:
        print_json(result)
    else:
        table = Table("keeper", "id", "role", "term", "commit", "applied", "last", "lag of others", box=None)
        for keeper, one in result.items():
            table.add_row(
                keeper,
                *(
                    str(one.get(name, one.get("error", "-")))
                    for name in ("id", "role", "term", "commit", "applied", "last", "lag")
                ),
            )
        Console(width=160).print(table)
    if not any(one.get("role") == "leader" for one in result.values()):
        fail(NO, "none of these keepers is the leader")


@group_app.command("add")
@one_line_errors
def group_add(name: str, keepers: Keepers = DEFAULT_KEEPER, within: Seconds = 10.0, json: Json = False) -> None:
    """Add a keeper of this name. Once it is started (without --new-group), it becomes a learner, then a voter."""
    _change_group("add", name, keepers, within, json)


@group_app.command("remove")
@one_line_errors
def group_remove(name: str, keepers: Keepers = DEFAULT_KEEPER, within: Seconds = 10.0, json: Json = False) -> None:
    """Remove a member. It cannot rejoin until `group add`."""
    _change_group("remove", name, keepers, within, json)


@group_app.command("hand-over")
@one_line_errors
def group_hand_over(name: str, keepers: Keepers = DEFAULT_KEEPER, within: Seconds = 10.0, json: Json = False) -> None:
    """Transfer leadership to this member."""
    _change_group("hand-over", name, keepers, within, json)


@group_app.command("backup")
@one_line_errors
def group_backup(
    to: Annotated[Path, typer.Option(help="The file to write; it must not exist.")],
    keepers: Keepers = DEFAULT_KEEPER,
    within: Seconds = 10.0,
    json: Json = False,
) -> None:
    """Copy the group's state at one revision to a file, from any keeper that answers, while it serves requests."""
    from mastlift.durable.frames import FORMAT
    from mastlift.durable.snapshot import SnapshotHeader, SnapshotWriter

    if to.exists():
        fail(BAD_CALL, f"{to} exists already: name a new file")
    disk, writers = _folder(to.resolve().parent), list[SnapshotWriter]()

    def begin(index: int, life: str) -> Callable[[bytes], None]:
        writers.append(SnapshotWriter(disk, SnapshotHeader(FORMAT, bytes.fromhex(life), index, 0), to.name))
        return writers[0].write

    try:
        revision = with_keeper(keepers, within, lambda client: client.backup(begin))
        writers[0].finish()
    except BaseException:
        for writer in writers:
            writer.abandon()
        raise
    result = {"revision": revision, "bytes": to.stat().st_size}
    print_json(result) if json else typer.echo(f"the state at revision {revision} is in {to} ({result['bytes']} bytes)")


def _folder(path: Path) -> Any:
    from mastlift.durable.disk import RealDisk

    return RealDisk(path)


@state_app.command("check")
@one_line_errors
def state_check(folder: Folder, json: Json = False) -> None:
    """Read every byte without changing anything. Exit code 1 if data is damaged; prints file and offset."""
    from mastlift.durable.check import check_folder

    findings = check_folder(_folder(folder))
    if json:
        print_json(
            {
                "whole": not findings.damage,
                "entries": findings.entries,
                "last": findings.last,
                "bytes": findings.bytes_read,
                "segments": findings.segments,
                "snapshots": findings.snapshots,
                "damage": [{"file": one.file, "offset": one.offset, "reason": one.reason} for one in findings.damage],
                "notes": findings.notes,
            }
        )
    else:
        for damage in findings.damage:
            typer.echo(f"damaged: {damage}")
        for note in findings.notes:
            typer.echo(f"note: {note}")
        typer.echo(
            f"{'DAMAGED' if findings.damage else 'whole'}: {findings.entries} entries up to {findings.last}; "
            f"{findings.segments} segments, {len(findings.snapshots)} snapshots, {findings.bytes_read} bytes"
        )
    if findings.damage:
        raise typer.Exit(NO)


@state_app.command("show")
@one_line_errors
def state_show(
    folder: Folder, keys: Annotated[bool, typer.Option(help="Also list the keys.")] = False, json: Json = False
) -> None:
    """Show what a start would find: the keeper's name, its revision, and the extent of its snapshot and log."""
    from mastlift.consensus.persistence import PersistentState, is_group_folder
    from mastlift.durable.archive import read_live
    from mastlift.store.machine import Store

    store = Store()
    disk = _folder(folder)
    persistent = PersistentState(store) if is_group_folder(disk) else None
    identity, recovery = read_live(disk, persistent or store)
    result = {
        "name": identity.name,
        "life": identity.life,
        "format": identity.format,
        "revision": store.revision,
        "index": store.index,
        "snapshot": recovery.snapshot,
        "entries_after_snapshot": recovery.entries,
        "keys": len(store.entries),
        "leases": len(store.leases),
        "sessions": len(store.sessions.by_id),
        "oldest_change": store.history.oldest,
        "notes": recovery.notes,
    }
    if persistent is not None:
        result |= {
            "id": persistent.id,
            "group": persistent.group,
            "term": persistent.term,
            "last": persistent.log.last,
            "voters": list(persistent.log.members().voters),
        }
    if json:
        return print_json({**result, **({"names": list(store.keys())} if keys else {})})
    for name, value in result.items():
        typer.echo(f"{name.replace('_', ' '):24}{value}")
    for key in store.keys() if keys else ():
        typer.echo(key)


@state_app.command("backup")
@one_line_errors
def state_backup(
    folder: Folder, to: Annotated[Path, typer.Option(help="The file to write; it must not exist.")], json: Json = False
) -> None:
    """Copy the state at one revision to a file, also while the keeper serves requests."""
    from mastlift.consensus.persistence import is_group_folder
    from mastlift.durable.archive import backup
    from mastlift.store.machine import Store

    if is_group_folder(_folder(folder)):
        fail(
            BAD_CALL,
            f"{folder} belongs to a member of a group, and only the group knows which part of its log is committed; "
            f"use mastlift group backup --to {to} instead",
        )
    if to.exists():
        fail(BAD_CALL, f"{to} exists already: name a new file")
    store = Store()
    identity, _ = backup(_folder(folder), store, _folder(to.resolve().parent), to.name)
    result = {
        "name": identity.name,
        "life": identity.life,
        "revision": store.revision,
        "index": store.index,
        "keys": len(store.entries),
        "bytes": to.stat().st_size,
    }
    print_json(result) if json else typer.echo(
        f"{result['keys']} keys at revision {result['revision']} are in {to} ({result['bytes']} bytes)"
    )


@state_app.command("restore")
@one_line_errors
def state_restore(
    folder: Folder,
    source: Annotated[Path, typer.Option("--from", help="A file of `state backup` or `group backup`.")],
    name: Annotated[str, typer.Option(help="The keeper's name, as in its settings.")],
    group: Annotated[
        Path | None,
        typer.Option(
            help="Settings with a [group]: found it anew with this keeper. Start the others with empty "
            "folders and without --new-group; they join."
        ),
    ] = None,
    json: Json = False,
) -> None:
    """Restore a backup to an empty folder. It gets a new life id, so that watchers read all state again."""
    import os
    import time
    from collections.abc import Iterator

    from mastlift.consensus.persistence import new_group_snapshot
    from mastlift.discovery.config import Settings
    from mastlift.durable.archive import restore
    from mastlift.durable.frames import LIFE_SIZE
    from mastlift.durable.snapshot import SnapshotReader
    from mastlift.settings import load
    from mastlift.store.commands import Entry
    from mastlift.store.machine import LIFE_KEY, LIST_BASE_KEY, entry_block

    if not source.is_file():
        fail(BAD_CALL, f"{source}: there is no such file")
    section = load(group, Settings).group if group else None
    if group and (section is None or name not in section.members):
        fail(BAD_CALL, f"{group}: its [group] does not name the member '{name}'")
    life, source_disk = os.urandom(LIFE_SIZE), _folder(source.resolve().parent)
    index = SnapshotReader(source_disk, source.name).head.index

    def change(blocks: Iterator[bytes]) -> Iterator[bytes]:
        def renewed() -> Iterator[bytes]:
            yield from blocks
            yield entry_block(LIFE_KEY, Entry(life.hex().encode(), 1, 1, 1))
            yield entry_block(LIST_BASE_KEY, Entry(b"%d" % (time.time() * 1000), 1, 1, 1))

        if section is None:
            return renewed()
        return new_group_snapshot(renewed(), f"{name}.{life.hex()[:8]}@{section.members[name]}", section.name, index)

    folder.mkdir(parents=True, exist_ok=True)
    head = restore(source_disk, source.name, _folder(folder), name, life, change)
    result = {"index": head.index, "from_life": head.life.hex(), "life": life.hex(), "name": name}
    print_json(result) if json else typer.echo(f"{folder} is the keeper {name}'s, up to entry {head.index} of {source}")


@app.command("bench")
@one_line_errors
def bench(
    name: Annotated[str, typer.Argument(help="durable, consensus, duty, discovery, config, capacity or proxy")],
    quick: Annotated[bool, typer.Option("--quick", help="A short run, within 50 s on 8 cores.")] = False,
    json: Annotated[Path | None, typer.Option(help="Write the figures to this file as one flat JSON object.")] = None,
    report: Annotated[Path | None, typer.Option(help="Write plots to this folder as PNG files.")] = None,
    only: Annotated[str, typer.Option(help="Only these steps, separated by commas, if the bench has steps.")] = "",
) -> None:
    """Measure a part against a baseline in the same run. Prefer the ratios; absolute times depend on the machine."""
    from rich.console import Console
    from rich.table import Table

    from mastlift.lab import benches
    from mastlift.lab.plots import Report

    if name not in benches.NAMES:
        fail(BAD_CALL, f"there is no bench '{name}'; there are: {', '.join(benches.NAMES)}")
    try:
        measure = benches.load(name, [step.strip() for step in only.split(",") if step.strip()])
    except benches.UnknownStep as error:
        fail(BAD_CALL, f"--only: {error}")
    start_logging(LogFormat.JSON)
    console, drawn = Console(stderr=True), Report(report)
    with console.status("") as status:
        figures = measure(quick, lambda step: status.update(f"{name}: {step}"), drawn)
    if json is not None:
        json.write_bytes(msgspec.json.format(msgspec.json.encode(figures)) + b"\n")
    table = Table("figure", "value", box=None)
    for figure, value in figures.items():
        table.add_row(figure, f"{value:,.3f}" if isinstance(value, float) else str(value))
    Console().print(table)
    for file in drawn.files:
        typer.echo(f"drawn: {file}")


def main() -> None:
    """Entry point of `python -m mastlift` and of the installed command."""
    app()
