"""The lab's commands."""

from __future__ import annotations

import asyncio
import logging
import random
import tempfile
from functools import partial
from pathlib import Path
from typing import Annotated

import structlog
import typer
from msgspec import json as mjson
from rich.progress import Progress

from mastlift.logs import LogFormat, start_logging

app = typer.Typer(help="Faults and checkers: find out whether the promises hold.", no_args_is_help=True)
Seed = Annotated[int, typer.Option(help="One seed replays one history.")]
Json = Annotated[bool, typer.Option("--json", help="One JSON object, for programs.")]


def _finish(told: dict[str, object], json: bool, broken: list[str]) -> None:
    if json:
        typer.echo(mjson.encode({**told, "broken": broken}).decode())
    else:
        for name, value in told.items():
            typer.echo(f"{name.replace('_', ' '):24}{value}")
        for line in broken:
            typer.echo(f"BROKEN: {line}")
    if broken:
        raise typer.Exit(1)


def _odd(members: int) -> None:
    if members not in (3, 5):
        typer.echo("mastlift: --members: 3 or 5", err=True)
        raise typer.Exit(2)


@app.command()
def crash(
    runs: Annotated[int, typer.Option(min=1, help="How many histories.")] = 20,
    seed: Seed = 0,
    of: Annotated[str, typer.Option(help="keeper: one alone; member: what a group's member keeps.")] = "keeper",
    mutation: Annotated[str, typer.Option(help="Break this rule on purpose; the run must then fail.")] = "",
    json: Json = False,
) -> None:
    """Crash the log and its recovery at every step on a disk that loses what was not synced, and damage what was.

    Exit code 1 with the seed of the first history that breaks a promise: `--runs 1 --seed THAT` replays it."""
    from collections import Counter
    from contextlib import nullcontext

    from mastlift.lab.crash import Broken, History, Tally, check_history
    from mastlift.lab.damage import check_damage
    from mastlift.lab.membercrash import MemberHistory, check_commits
    from mastlift.lab.mutations import MEMBER_MUTATIONS, MUTATIONS, mutated

    if of not in ("keeper", "member"):
        typer.echo(f"mastlift: --of: '{of}' is not known; known: keeper, member", err=True)
        raise typer.Exit(2)
    known, draw = (MUTATIONS, History) if of == "keeper" else (MEMBER_MUTATIONS, MemberHistory)
    if mutation and mutation not in known:
        typer.echo(f"mastlift: --mutation: '{mutation}' is not known; known: {', '.join(known)}", err=True)
        raise typer.Exit(2)
    tally, damage, broken = Tally(), Counter[str](), list[str]()
    with Progress(transient=True, disable=json) as progress, mutated(mutation) if mutation else nullcontext():
        task = progress.add_task("histories", total=runs)
        for number in range(seed, seed + runs):
            try:
                check_history(number, tally, draw=draw)
                if of == "keeper":
                    damage += check_damage(number)
                else:
                    tally.recoveries += check_commits(number)
            except Broken as error:
                broken.append(
                    f"{error}  (replay: mastlift lab crash --of {of} --runs 1 --seed {number}"
                    + (f" --mutation {mutation})" if mutation else ")")
                )
                break
            progress.advance(task)
    _finish(
        {
            "histories": tally.histories,
            "crash_points": tally.crash_points,
            "second_crashes": tally.second_crashes,
            "recoveries": tally.recoveries,
            "damages_refused": sum(n for k, n in damage.items() if "refused" in k),
            "damages_outlived": sum(n for k, n in damage.items() if "recovered" in k),
        },
        json,
        broken,
    )


@app.command()
def check(
    what: Annotated[str, typer.Argument(help="consensus, duties, discovery or configuration")],
    runs: Annotated[int, typer.Option(min=1, help="How many schedules.")] = 200,
    seed: Seed = 0,
    without: Annotated[str, typer.Option(help="Leave out the faults of these numbers: 3,5,7")] = "",
    mutation: Annotated[str, typer.Option(help="Break this rule on purpose, or `all` in turn.")] = "",
    json: Json = False,
) -> None:
    """Play schedules of a group in simulated time and check its rules at each step, and its clients' history.

    Exit code 1 with the first schedule that breaks a rule, shrunk: `--runs 1 --seed S --without ...` replays it."""
    from mastlift.lab import schedules

    if what not in schedules.KINDS:
        typer.echo(f"mastlift: there is no check '{what}'; there are: {', '.join(schedules.KINDS)}", err=True)
        raise typer.Exit(2)
    known = schedules.KINDS[what].mutations
    names = known if mutation == "all" else (mutation,)
    if mutation and not set(names) <= set(known):
        typer.echo(f"mastlift: --mutation: '{mutation}' is not known; known: {', '.join(known)}", err=True)
        raise typer.Exit(2)
    skipped = frozenset(int(number) for number in without.split(",") if number)
    told: dict[str, object] = {}
    broken: list[str] = []
    with Progress(transient=True, disable=json) as progress:
        for name in names:
            advance = partial(progress.advance, progress.add_task(name or what, total=runs))
            found = schedules.play(range(seed, seed + runs), skipped, name, advance, what=what)
            if mutation == "all":
                told[name] = f"found after {found.schedules} schedules" if found.broken else "NOT FOUND"
                broken += [] if found.broken else [f"{name} was not found in {runs} schedules"]
            else:
                told = {"schedules": found.schedules, **found.seen}
                broken = [found.broken, *found.trace] if found.broken else []
    _finish(told, json, broken)


@app.command()
def kill(
    kills: Annotated[int, typer.Option(min=1)] = 50,
    writers: Annotated[int, typer.Option(min=1)] = 16,
    seed: Seed = 0,
    json: Json = False,
) -> None:
    """Kill a keeper's process at random moments under writers, and compare the store with their ledgers."""
    from mastlift.lab.kill import kill_run

    with tempfile.TemporaryDirectory() as folder, Progress(transient=True, disable=json) as progress:
        task = progress.add_task("kills", total=kills)
        verdict = asyncio.run(
            kill_run(Path(folder), kills, writers, seed, lambda done: progress.update(task, completed=done))
        )
    told = {name: getattr(verdict, name) for name in verdict.__slots__}
    broken = told.pop("broken")
    _finish(told, json, broken)


@app.command()
def chaos(
    seconds: Annotated[float, typer.Option(min=1)] = 60.0,
    members: Annotated[int, typer.Option()] = 5,
    writers: Annotated[int, typer.Option(min=1)] = 4,
    seed: Seed = 0,
    json: Json = False,
) -> None:
    """A group of keepers as processes under random faults and writers; then the store against their ledgers."""
    from mastlift.lab.chaos import chaos_run

    _odd(members)
    with tempfile.TemporaryDirectory() as folder:
        verdict, done = asyncio.run(chaos_run(Path(folder), seconds, members, writers, seed))
    _finish(
        {
            "members": members,
            "writers": writers,
            "acknowledged": verdict.acknowledged,
            **{f"faults_{kind}": count for kind, count in sorted(done.items())},
        },
        json,
        verdict.broken,
    )


@app.command()
def duties(
    seconds: Annotated[float, typer.Option(min=1)] = 60.0,
    holders: Annotated[int, typer.Option(min=1)] = 20,
    duties: Annotated[int, typer.Option(min=1)] = 5,
    members: Annotated[int, typer.Option()] = 3,
    writers: Annotated[int, typer.Option(min=0)] = 0,
    seed: Seed = 0,
    json: Json = False,
) -> None:
    """Holders of duties as processes, keepers, random faults of both, and a resource that records who acted.

    The long form: --seconds 600 --members 5 --holders 20 --writers 4"""
    from mastlift.lab.duties import duties_run, histogram

    _odd(members)
    with tempfile.TemporaryDirectory() as folder:
        outcome = asyncio.run(duties_run(Path(folder), seconds, duties, holders, seed, members, writers))
    gaps = outcome.gaps_ms
    _finish(
        {
            "acknowledged": outcome.written.acknowledged,
            "without_holder": histogram(gaps),
            "acted": outcome.acted,
            "holders_in_turn": outcome.takeovers,
            "late_and_refused": outcome.refused,
            "late_after_waking_ms": round(outcome.after_waking_ms, 1),
            **{f"late_{kind.replace(' ', '_')}": count for kind, count in sorted(outcome.late.items())},
            **{
                f"without_holder_ms_p{p}": round(gaps[min(len(gaps) - 1, len(gaps) * p // 100)])
                for p in (50, 90, 99)
                if gaps
            },
            **{f"faults_{kind.replace(' ', '_')}": count for kind, count in sorted(outcome.faults.items())},
        },
        json,
        outcome.broken,
    )


@app.command()
def crowd(
    duties: Annotated[int, typer.Option(min=1)] = 1000,
    candidates: Annotated[int, typer.Option(min=3)] = 200,
    ttl: Annotated[float, typer.Option(min=1, help="Seconds.")] = 20.0,
    seconds: Annotated[float, typer.Option(min=1, help="How long each step is watched.")] = 10.0,
    json: Json = False,
) -> None:
    """Many duties and candidates at three keepers: losing one, the leader too, moves no duty and makes no storm of
    calls; the line is fair, and those who left it are passed over."""
    from mastlift.lab.crowd import crowd_run

    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    with tempfile.TemporaryDirectory() as folder, Progress(transient=True, disable=json) as progress:
        task = progress.add_task("", total=5)

        def tell(step: str) -> None:
            progress.update(task, advance=1, description=step)

        told, broken = asyncio.run(crowd_run(Path(folder), duties, candidates, ttl, seconds, tell))
    _finish({**told}, json, broken)


@app.command()
def crowd_soak(
    seeds: Annotated[int, typer.Option(min=1, help="How many runs.")] = 60,
    seed: Seed = 100,
    json: Json = False,
) -> None:
    """A real proxy that is killed, ended and reloaded in rows under crowds of slow and broken-off clients: its memory,
    its own end, lost requests and orders that run twice. Exit code 1 if a run broke a rule; `--seeds 1 --seed THAT`
    plays it again."""
    from mastlift.lab.crowdsoak import soak

    broken, most_mb = [], 0.0
    with Progress(transient=True, disable=json) as progress:
        for number in progress.track(range(seed, seed + seeds)):
            with tempfile.TemporaryDirectory() as folder:
                outcome = asyncio.run(soak(number, Path(folder)))
            most_mb = max(most_mb, outcome.memory_mb)
            if outcome.broken:
                broken.append(str(outcome))
    _finish({"runs": seeds, "first_seed": seed, "most_memory_mb": round(most_mb, 1)}, json, broken)


@app.command()
def lists(
    scenario: Annotated[list[str] | None, typer.Argument(help="By name; none: all in turn.")] = None,
    scale: Annotated[float, typer.Option(min=0.1, help="Of the times that faults last.")] = 1.0,
    proxies: Annotated[int, typer.Option(min=1)] = 6,
    backends: Annotated[int, typer.Option(min=8)] = 30,
    json: Json = False,
) -> None:
    """The list service among processes: three keepers, proxies, backends and clients, under faults by name.

    Judged from outside: no list runs backwards, nothing new comes to a server 250 ms after a proxy was told, no list
    empties, and as many requests are served as without faults."""
    from dataclasses import asdict

    from rich.console import Console
    from rich.table import Table

    from mastlift.lab.listfaults import SCENARIOS, play_lists

    names = list(scenario or SCENARIOS)
    if unknown := set(names) - SCENARIOS.keys():
        typer.echo(f"mastlift: there is no scenario '{min(unknown)}'; there are: {', '.join(SCENARIOS)}", err=True)
        raise typer.Exit(2)
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    with tempfile.TemporaryDirectory() as folder, Progress(transient=True, disable=json) as progress:
        task = progress.add_task("", total=len(names) + 1)

        def tell(name: str) -> None:
            progress.update(task, advance=1, description=name)

        played, notes = asyncio.run(
            play_lists(Path(folder), ["nothing", *(n for n in names if n != "nothing")], scale, proxies, backends, tell)
        )
    if not json:
        table = Table("scenario", "served", "smallest list", "calls", "latest ms", "own lag ms", "s", box=None)
        for one in played:
            table.add_row(
                one.name,
                f"{one.served} of {one.asked}",
                str(one.smallest_list),
                str(one.calls),
                str(one.latest_ms),
                str(one.lag_ms),
                str(one.seconds),
            )
        Console(width=140).print(table)
    _finish(
        {**notes, **({"played": [asdict(one) for one in played]} if json else {})},
        json,
        [f"{one.name}: {line}" for one in played for line in one.broken],
    )


@app.command("try")
def try_() -> None:
    """A proxy, two stand-in backends and a keeper that is killed and started again; ends by itself."""
    from mastlift.lab.walk import walk

    steps = iter(range(1, 100))
    with tempfile.TemporaryDirectory() as folder:
        fine = asyncio.run(walk(Path(folder), lambda text: typer.echo(f"{next(steps):2}. {text}")))
    typer.echo("all came out as it should" if fine else "something did NOT come out as it should")
    raise typer.Exit(0 if fine else 1)


@app.command(hidden=True)
def writer(
    keepers: Annotated[str, typer.Option()],
    name: Annotated[str, typer.Option()],
    ledger: Annotated[Path, typer.Option()],
    seed: Seed = 0,
) -> None:
    """One writer of `lab kill`."""
    from mastlift.lab.kill import write

    asyncio.run(write(keepers.split(","), name, ledger, seed or random.randrange(1 << 30)))


@app.command()
def keeper(
    config: Annotated[Path, typer.Option()],
    faults: Annotated[Path, typer.Option(help="A folder: files `full`, `fsync`, `slow` in it are faults.")],
) -> None:
    """A keeper on a disk that fails when told to."""
    from mastlift.keeper import process
    from mastlift.keeper.config import Settings
    from mastlift.lab.faulty import FaultyDisk
    from mastlift.settings import load

    start_logging(LogFormat.JSON)
    process.run(load(config, Settings), config.parent, lambda disk: FaultyDisk(disk, faults))


@app.command("ended-watches")
def ended_watches(
    seeds: Annotated[int, typer.Option(min=1, help="How many seeds of each scenario.")] = 100,
    proxies: Annotated[int, typer.Option(min=1, help="Leave out larger scenarios.")] = 230,
    json: Json = False,
) -> None:
    """How many proxies learn too late of a drain that their watch did not report before it ended.

    Real discovery clients in simulated time; the timing of calls in use, the former one, and the least of any order."""
    from mastlift.lab.emulator.ended_watches import SCENARIOS, Comparison, compare

    rows: list[Comparison] = []
    for scenario in SCENARIOS:
        if scenario.proxies <= proxies:
            rows.append(compare(scenario, range(seeds)))
            if not json:
                typer.echo(str(rows[-1]))
    if json:
        typer.echo(mjson.encode(rows).decode())


@app.command("outdated-list")
def compare_outdated_list(
    seeds: Annotated[int, typer.Option(min=1, help="How many seeds of each scenario.")] = 100,
) -> None:
    """Sends to a server that drains, with requests held while the list may lack the drain, and without."""
    from mastlift.lab.emulator import outdated_list

    for scenario in outdated_list.SCENARIOS:
        typer.echo(f"{scenario.name}, {scenario.proxies} proxies, a call of each {scenario.all_call_s} s:")
        for holds in (False, True):
            result = outdated_list.play_seeds(scenario, range(seeds), holds=holds)
            typer.echo(f"  {'held' if holds else 'sent on'}: {result}")
