"""A duty's command ends in time even if its holder, its guard or the reader of the holder's log is stopped."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from unittest import mock

import pytest

from mastlift.duty import guard
from mastlift.duty.clock import RATE_MARGIN, HolderClock
from mastlift.duty.command import BACKUP_BEFORE_MS, KILL_BEFORE_MS, deadlines_of
from mastlift.duty.guarded import Deadlines, GuardedCommand, NotStartedError, kill_descendants
from mastlift.duty.holder import DutyState, all_duties, is_held, put_while_held, request_hand_over
from mastlift.keeper.client import KeeperClient
from mastlift.lab.addresses import free_address
from mastlift.lab.duties import ACTOR, Resource, holder, resource
from mastlift.lab.processes import ROOT, Child, keeper, keeper_settings, started
from mastlift.logwriter import BackgroundWriter
from mastlift.processes import is_running
from tests.rig import run

FAR_MS = 60_000.0
SLACK_MS = 500.0  # for a busy machine: the tests assert that the command ends and why, not how fast


def deadlines(terminate_ms: float, kill_ms: float) -> Deadlines:
    now = guard.now_ms()
    return Deadlines(now + terminate_ms, now + kill_ms)


async def start_guarded(script: str, terminate_ms: float = FAR_MS, kill_ms: float = FAR_MS) -> GuardedCommand:
    return await GuardedCommand.start(["sh", "-c", script], dict(os.environ), deadlines(terminate_ms, kill_ms))


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.005)


# --- the guard alone ---


def test_deadlines_signal_once_and_the_last_message_applies() -> None:
    one = guard.Deadlines()
    one.read(b"".join(guard.DEADLINES.pack(*times) for times in ((100.0, 200.0), (300.0, 400.0))))
    assert not one.has_to_terminate(299.0) and not one.is_over(399.0)
    assert one.wait_s(299.0) == pytest.approx(0.001)
    assert one.has_to_terminate(300.0) and not one.has_to_terminate(301.0)
    assert one.wait_s(301.0) == pytest.approx(0.099)
    assert one.is_over(400.0) and one.wait_s(500.0) == 0.0


def test_deadlines_use_a_clock_that_cannot_be_set() -> None:
    assert guard.CLOCK not in (
        time.CLOCK_REALTIME,
        time.CLOCK_MONOTONIC,
    )  # the latter stops in suspend
    assert abs(guard.now_ms() - time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0) < SLACK_MS


@pytest.mark.parametrize(
    ("script", "code"), [("sleep 60", -signal.SIGTERM), ("trap '' TERM; sleep 60; sleep 60", -signal.SIGKILL)]
)
def test_guard_ends_the_command_at_its_deadlines(script: str, code: int) -> None:
    async def test() -> None:
        command = await start_guarded(script, 300.0, 600.0)
        await command.ended.wait()
        assert (command.code, command.ended_by_itself, command.out_of_reach) == (code, False, ())
        await command.close(guard.now_ms())
        assert not is_running(command.pid) and not is_running(command.guard_pid)

    run(test)


def test_new_deadlines_replace_the_old_ones() -> None:
    async def test() -> None:
        command = await start_guarded("sleep 60", 400.0, 500.0)
        command.set_deadlines(deadlines(FAR_MS, FAR_MS))
        await asyncio.sleep(0.8)
        assert is_running(command.pid) and not command.ended.is_set()
        command.set_deadlines(deadlines(0.0, 0.0))
        await command.ended.wait()
        await command.close(guard.now_ms())
        assert not is_running(command.pid)

    run(test)


def test_exit_code_is_reported_and_remaining_processes_are_killed() -> None:
    async def test() -> None:
        command = await start_guarded("setsid sleep 60 & (sleep 60 &) ; sleep 0.2; exit 7")
        left: list[int] = []
        while not command.ended.is_set():
            left = sorted({*left, *guard.descendants(command.guard_pid)})
            await asyncio.sleep(0.01)
        assert (command.code, command.ended_by_itself) == (7, True)
        assert len(left) >= 3 and not any(map(is_running, left))
        await command.close(guard.now_ms())

    run(test)


def test_orphaned_grandchild_in_its_own_session_is_killed_in_time() -> None:
    async def test() -> None:
        script = "import os,time\nif os.fork(): os._exit(0)\nos.setsid()\nif os.fork(): os._exit(0)\ntime.sleep(60)"
        command = await start_guarded(f"{sys.executable} -S -c '{script}'; sleep 60", 600.0, 700.0)
        await wait_until(lambda: len(guard.descendants(command.guard_pid)) >= 3)
        await asyncio.sleep(0.2)
        found = guard.descendants(command.guard_pid)
        await command.ended.wait()
        assert not any(map(is_running, found))
        await command.close(guard.now_ms())

    run(test)


def test_expired_command_is_not_started_and_one_that_cannot_be_executed_is_reported(tmp_path: Path) -> None:
    async def test() -> None:
        command = await start_guarded(f"touch {tmp_path}/acted", -2.0, -1.0)
        await command.ended.wait()
        await command.close(guard.now_ms())
        assert not (tmp_path / "acted").exists() and not command.ended_by_itself
        with pytest.raises(NotStartedError, match="/no/such: No such file"):
            await GuardedCommand.start(["/no/such"], {}, deadlines(FAR_MS, FAR_MS))

    run(test)


def test_holder_does_not_wait_for_a_stopped_guard() -> None:
    async def test() -> None:
        command = await start_guarded("setsid sleep 60 & sleep 60")
        await wait_until(lambda: len(guard.descendants(command.guard_pid)) >= 3)
        found = guard.descendants(command.guard_pid)
        os.kill(command.guard_pid, signal.SIGSTOP)
        command.set_deadlines(deadlines(0.0, 0.0))
        await command.close(guard.now_ms() + 50.0)
        await wait_until(lambda: not any(map(is_running, found)))
        assert command.guard_was_lost

    run(test)


def test_unkillable_process_is_reported_after_a_timeout() -> None:
    """Such as a process of another user, or one in uninterruptible sleep; simulated by signals that have no effect."""

    async def test() -> None:
        command = await start_guarded("exec sleep 60")
        child = os.posix_spawn("/bin/sleep", ["sleep", "60"], {})
        with mock.patch.multiple(guard, send_signal=lambda *_, **__: None, KILL_TIMEOUT_S=0.1):
            assert await kill_descendants(command.guard_pid) == [command.pid]
            with mock.patch.object(guard, "descendants", lambda _: [child]):
                assert guard.kill_all(child) == (None, [child])
        os.kill(child, signal.SIGKILL)
        command.set_deadlines(deadlines(0.0, 0.0))
        await command.close(guard.now_ms() + SLACK_MS)
        os.waitpid(child, 0)

    run(test)


def test_deadlines_of_the_guard_end_before_the_lease() -> None:
    holder_clock = HolderClock(2_000.0)
    holder_clock.renewed(1_000.0)
    sent = deadlines_of(holder_clock, 500.0)
    assert sent.kill_at == holder_clock.expires_at - KILL_BEFORE_MS < 1_000.0 + 2_000.0 * (1.0 - RATE_MARGIN)
    assert sent.terminate_at == sent.kill_at - 500.0
    assert BACKUP_BEFORE_MS < KILL_BEFORE_MS  # if the guard is late, the holder still kills the command in time
    holder_clock.mark_lost()
    assert is_expired(deadlines_of(holder_clock, 500.0))


def is_expired(sent: Deadlines) -> bool:
    read = guard.Deadlines()
    read.read(sent.packed())
    return read.is_over(0.0)


# --- `duty hold` as a process, with keepers and a resource that records which token acted ---


@dataclass(slots=True)
class HolderPair:
    """A holder whose command acts, and a second candidate that waits in line."""

    resource: Resource
    keepers: list[str]
    first: Child
    second: Child
    guard: int
    command: int

    def signal(self, number: signal.Signals, *pids: int) -> None:
        for pid in pids:
            with suppress(ProcessLookupError):
                os.kill(pid, number)

    async def succeeded(self) -> None:
        """Waits until the second candidate's command has acted for a while."""
        taken = await self.second.event("command_started")
        await wait_until(lambda: self.resource.highest["d"] == taken["token"])
        await asyncio.sleep(0.5)


@asynccontextmanager
async def holder_pair(folder: Path) -> AsyncIterator[HolderPair]:
    listen = free_address()
    async with keeper(keeper_settings(folder, listen)), resource() as res, holder([listen], res, "d", "one") as first:
        begun = await first.event("command_started")
        await wait_until(lambda: res.acted > 0)
        async with holder([listen], res, "d", "two") as second:
            async with KeeperClient([listen]) as client:
                while not (await all_duties(client))["d"].line:
                    await asyncio.sleep(0.01)
            yield HolderPair(res, [listen], first, second, int(begun["guard"]), int(begun["pid"]))


@pytest.mark.parametrize("fault", ["holder stopped", "holder killed", "guard killed", "holder stopped and killed"])
def test_nothing_acts_with_an_older_token(tmp_path: Path, fault: str) -> None:
    async def test() -> None:
        async with holder_pair(tmp_path) as both:
            if fault == "guard killed":
                both.signal(signal.SIGKILL, both.guard)
            else:
                if "stopped" in fault:
                    both.first.send(signal.SIGSTOP)
                if "killed" in fault:
                    both.first.send(signal.SIGKILL)
            await both.succeeded()
            assert both.resource.refused["d"] == 0
            assert not is_running(both.command) and not is_running(both.guard)
            if fault == "guard killed":
                assert (await both.first.event("command_ended"))["why"] == "its guard was lost"

    run(test)


def test_stopped_guard_does_not_keep_the_duty(tmp_path: Path) -> None:
    async def test() -> None:
        async with holder_pair(tmp_path) as both:
            both.signal(signal.SIGSTOP, both.guard)
            async with KeeperClient(both.keepers) as client:
                assert await request_hand_over(client, "d", "two")
            await both.succeeded()
            assert both.resource.refused["d"] == 0
            assert not is_running(both.command) and not is_running(both.guard)
            await both.first.event("guard_late")

    run(test)


def test_command_is_ended_first_after_all_processes_resume(tmp_path: Path) -> None:
    """Command, guard and holder are stopped until after the lease; until the command ends, its token is refused."""

    async def test() -> None:
        async with holder_pair(tmp_path) as both:
            everybody = (both.command, both.guard, both.first.process.pid)
            both.signal(signal.SIGSTOP, *everybody)
            await both.succeeded()
            both.signal(signal.SIGCONT, *everybody)
            await wait_until(lambda: not is_running(both.command))
            assert (await both.first.event("command_ended"))["why"] in ("lost", "no renewal in time")
            refused = both.resource.refused["d"]
            await asyncio.sleep(0.3)
            assert both.resource.refused["d"] == refused

    run(test)


def full_pipe() -> tuple[int, int]:
    """Returns the reading and the writing end of a full pipe; writes to it block."""
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    with suppress(BlockingIOError):
        while True:
            os.write(writing, b"x" * 4096)
    os.set_blocking(writing, True)
    return reading, writing


def kill_and_close(process: asyncio.subprocess.Process, *pipe: int) -> None:
    with suppress(ProcessLookupError):
        process.kill()
    for descriptor in pipe:
        os.close(descriptor)


def test_unread_log_blocks_neither_renewals_nor_the_end_of_a_command(tmp_path: Path) -> None:
    async def test() -> None:
        listen = free_address()
        reading, writing = full_pipe()
        async with keeper(keeper_settings(tmp_path, listen)), resource() as res:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "mastlift",
                "duty",
                "hold",
                "d",
                "--ttl",
                "1",
                "--keepers",
                listen,
                "--",
                sys.executable,
                "-S",
                "-c",
                ACTOR,
                *map(str, res.address),
                "d",
                cwd=ROOT,
                stderr=writing,
            )
            try:
                await wait_until(lambda: res.acted > 0)
                await asyncio.sleep(2.5)  # longer than the lease, so only renewals can have kept it
                acted = res.acted
                await wait_until(lambda: res.acted > acted)
                assert len(res.first) == 1
                process.terminate()
                assert await process.wait() == 0
                acted = res.acted
                await asyncio.sleep(0.3)
                assert res.acted == acted
            finally:
                kill_and_close(process, reading, writing)

    run(test)


def test_unread_keeper_log_blocks_no_call(tmp_path: Path) -> None:
    async def test() -> None:
        listen = free_address()
        reading, writing = full_pipe()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "mastlift",
            "keeper",
            "run",
            "--log",
            "json",
            "--config",
            str(keeper_settings(tmp_path, listen)),
            cwd=ROOT,
            stderr=writing,
        )
        try:
            async with KeeperClient([listen]) as client:
                for number in range(20):
                    await client.put(f"key{number}", b"value")
            process.terminate()
            assert await process.wait() == 0
        finally:
            kill_and_close(process, reading, writing)

    run(test)


STARVED = """
import asyncio, sys, time
from mastlift.duty.command import hold
from mastlift.duty.holder import Duty
from mastlift.keeper.client import KeeperClient

async def main():
    async with KeeperClient([sys.argv[1]]) as client:
        asyncio.get_running_loop().call_later(1.0, time.sleep, 4.0)
        await hold(Duty(client, "d", "one", 1000), sys.argv[2:], asyncio.Event(), 250.0)

asyncio.run(main())
"""


def test_blocked_event_loop_does_not_keep_the_command_alive(tmp_path: Path) -> None:
    async def test() -> None:
        listen = free_address()
        async with keeper(keeper_settings(tmp_path, listen)), resource() as res:
            actor = (sys.executable, "-S", "-c", ACTOR, *map(str, res.address), "d")
            async with started("-c", STARVED, listen, *actor), holder([listen], res, "d", "two", 1.0) as second:
                await wait_until(lambda: len(res.first) == 2)
                await asyncio.sleep(0.5)
                assert res.refused["d"] == 0
                assert (await second.event("command_started"))["token"] == res.highest["d"]

    run(test)


def test_command_that_cannot_be_executed_gives_up_the_duty(tmp_path: Path) -> None:
    async def test() -> None:
        listen = free_address()
        async with keeper(keeper_settings(tmp_path, listen)):
            async with started("-m", "mastlift", "duty", "hold", "d", "--keepers", listen, "--", "/no/such") as child:
                await child.line("/no/such: No such file")
                assert await child.process.wait() == 2
            async with KeeperClient([listen]) as client:
                assert not (await all_duties(client)).get("d", DutyState()).holder

    run(test)


def test_command_checks_its_token_and_writes_with_it_in_one_call(tmp_path: Path) -> None:
    async def test() -> None:
        listen = free_address()
        script = (
            f"set -e; d='{sys.executable} -m mastlift duty'; k='--keepers {listen}'; $d check d $k; "
            f"$d put d work mine $k; ! $d check d --token 1 $k; ! $d put d work late --token 1 $k; "
            f"! $d check other $k; exit 7"
        )
        async with keeper(keeper_settings(tmp_path, listen)):
            async with started(
                "-m", "mastlift", "duty", "hold", "d", "--keepers", listen, "--", "sh", "-c", script
            ) as child:
                assert await child.process.wait() == 7, child.lines
                await child.line("token 1 does not hold it; work is as it was")
                token = (await child.event("command_started"))["token"]
            async with KeeperClient([listen]) as client:
                entry = await client.get("work")
                assert entry is not None and entry.value == b"mine"
                assert not await is_held(client, "d", token)
                assert await put_while_held(client, "d", token, "work", "after") is None

    run(test)


# --- the log's writer ---


def test_log_lines_keep_their_order_and_dropped_lines_are_counted() -> None:
    reading, writing = os.pipe()
    writer = BackgroundWriter(writing, max_queued=100)
    try:
        line = "x" * 4000 + "\n"
        for _ in range(17):
            writer.write(line)
        assert not writer.drain(0.05)  # the pipe is full, because nobody reads
        for number in range(300):
            writer.write(f"{number}\n")
        read = b""
        while b"log_lines_dropped" not in read:
            read += os.read(reading, 65536)
        assert writer.drain(5.0)
        numbers = [int(word) for word in read.decode().split("\n") if word.isdigit()]
        assert numbers == sorted(numbers) and 0 < len(numbers) <= 100
        assert f'"lines": {300 - len(numbers)}' in read.decode()
    finally:
        os.close(reading)
        os.close(writing)
