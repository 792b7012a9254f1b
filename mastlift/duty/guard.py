"""The guard: a small process that ends a duty's command on its own when the time in which it may act has passed.

It is the child of the holder and the parent of the command, and does not talk to keepers. The holder sends new
deadlines with each renewal; the guard sleeps until the next message, the next deadline or the exit of a child. So the
command ends in time even if the holder is stopped, blocked or starved of CPU, and at once when the holder has exited.

`mastlift.duty.guarded` runs it as a script, in an interpreter without site packages and without imports of this
project, because every duty has a guard and its memory counts. Its parent makes it a child subreaper, so processes that
leave the command's process group or session are still found among its descendants. Times are milliseconds of
CLOCK_BOOTTIME, which also counts while the machine is suspended.
"""

from __future__ import annotations

import contextlib
import os
import select
import signal
import struct
import sys
import time

DEADLINES = struct.Struct("<dd")  # a message: the times of SIGTERM and of SIGKILL
CLOCK = time.CLOCK_BOOTTIME
KILL_TIMEOUT_S = 1.0  # after which processes that are still alive are reported as out of reach
POLL_INTERVAL_S = 0.005  # between two searches for descendants while killing them
PR_SET_PDEATHSIG = 1
EXEC_FAILED_EXIT_CODE = 127


def now_ms() -> float:
    """The clock of all deadlines, in milliseconds."""
    return time.clock_gettime(CLOCK) * 1000.0


def descendants(parent: int) -> list[int]:
    """The descendants of a process that are visible now. Processes forked during the search can be missed."""
    found: list[int] = []
    unvisited = [parent]
    while unvisited:
        process_id = unvisited.pop()
        try:
            threads = os.listdir(f"/proc/{process_id}/task")
        except OSError:
            continue
        for thread in threads:
            try:
                with open(f"/proc/{process_id}/task/{thread}/children") as file:
                    children = [int(word) for word in file.read().split()]
            except OSError:
                continue
            found += children
            unvisited += children
    return found


def send_signal(pid: int, number: int, *, group: bool = False) -> None:
    """Signals a process or its group; does nothing if it does not exist or may not be signalled."""
    with contextlib.suppress(ProcessLookupError, PermissionError):
        if group:
            os.killpg(pid, number)
        else:
            os.kill(pid, number)


def reap(command: int) -> int | None:
    """Reaps all children that have exited. Returns the command's exit code if it is among them."""
    code = None
    while True:
        try:
            pid, status = os.waitpid(-1, os.WNOHANG)
        except ChildProcessError:
            return code
        if pid == 0:
            return code
        if pid == command:
            code = os.waitstatus_to_exitcode(status)


def kill_all(command: int) -> tuple[int | None, list[int]]:
    """Kills the command's group and all descendants of this process.

    Returns the command's exit code, and the processes that are still alive after KILL_TIMEOUT_S.
    """
    send_signal(command, signal.SIGKILL, group=True)
    until = time.monotonic() + KILL_TIMEOUT_S
    code = None
    while True:
        found = reap(command)
        code = code if found is None else found
        left = descendants(os.getpid())
        if not left or time.monotonic() > until:
            return code, left
        for pid in left:
            send_signal(pid, signal.SIGKILL)
        time.sleep(POLL_INTERVAL_S)


def execute(command: list[str], failure: int) -> None:
    """Runs in the forked child: executes the command in a session of its own.

    The command is killed if the guard dies. On failure, writes the errno to the file descriptor `failure`.
    """
    guard = os.getppid()
    try:
        os.setsid()
        import ctypes  # imported only in the child, to keep the guard's memory small

        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
        if os.getppid() == guard:
            os.execvp(command[0], command)
    except OSError as error:
        os.write(failure, str(error.errno).encode())
    os._exit(EXEC_FAILED_EXIT_CODE)


def start(command: list[str]) -> tuple[int, int]:
    """Starts the command. Returns its process id and the errno if it could not be executed, else 0."""
    failed, failure = os.pipe()
    pid = os.fork()
    if pid == 0:
        os.close(failed)
        signal.set_wakeup_fd(-1)
        signal.signal(signal.SIGCHLD, signal.SIG_DFL)
        execute(command, failure)
    os.close(failure)
    error = os.read(failed, 16)
    os.close(failed)
    return pid, int(error or 0)


class Deadlines:
    """Decides when to signal the command. Reads no clock."""

    def __init__(self) -> None:
        self.terminate_at = self.kill_at = 0.0
        self.terminated = False  # SIGTERM was due and has been reported

    def read(self, messages: bytes) -> None:
        """Takes the deadlines of the last message."""
        self.terminate_at, self.kill_at = DEADLINES.unpack(messages[-DEADLINES.size :])

    def is_over(self, now: float) -> bool:
        """Whether the time of SIGKILL has come."""
        return now >= self.kill_at

    def has_to_terminate(self, now: float) -> bool:
        """Whether SIGTERM is due. Returns True only once."""
        due = not self.terminated and now >= self.terminate_at
        self.terminated = self.terminated or due
        return due

    def wait_s(self, now: float) -> float:
        """Seconds until the next deadline."""
        next_at = self.kill_at if self.terminated else min(self.terminate_at, self.kill_at)
        return max(next_at - now, 0.0) / 1000.0


def watch(command: int, deadlines: Deadlines, control: int, children: int) -> int | None:
    """Waits until the command exits (returns its exit code), or its time is over or the holder exited (None)."""
    while not deadlines.is_over(now_ms()):
        if deadlines.has_to_terminate(now_ms()):
            send_signal(command, signal.SIGTERM, group=True)
        ready, _, _ = select.select([control, children], [], [], deadlines.wait_s(now_ms()))
        if children in ready:
            os.read(children, 4096)
            code = reap(command)
            if code is not None:
                return code
        if control in ready:
            messages = os.read(control, 256 * DEADLINES.size)
            if not messages:
                return None
            deadlines.read(messages)
    return None


def write_report(report: int, *words: object) -> None:
    """Writes one line to the holder, unless it has exited."""
    with contextlib.suppress(OSError):
        os.write(report, (" ".join(map(str, words)) + "\n").encode())


def main(control: int, report: int, command: list[str]) -> None:
    """Runs the command. Reads deadlines from `control` and writes lines to `report`, both file descriptors.

    The first line is `started PID` or `failed ERRNO`. The last one is `exited CODE` if the command ended on its own,
    else `killed CODE`. CODE is `-` if its exit was not observed; the process ids that could not be killed follow it.
    If the time is over before the command starts, it is not started and the only line is `killed -`.
    """
    for descriptor in (control, report):
        os.set_inheritable(descriptor, False)
    children, wake = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
    signal.signal(signal.SIGCHLD, lambda *_: None)
    signal.set_wakeup_fd(wake, warn_on_full_buffer=False)
    deadlines = Deadlines()
    deadlines.read(os.read(control, DEADLINES.size))
    if deadlines.is_over(now_ms()):
        write_report(report, "killed", "-")
        return
    pid, error = start(command)
    try:
        write_report(report, *(("failed", error) if error else ("started", pid)))
        code = watch(pid, deadlines, control, children)
    finally:
        ended, left = kill_all(pid)
    by_itself = code is not None and not deadlines.terminated
    code = ended if code is None else code
    write_report(report, "exited" if by_itself else "killed", "-" if code is None else code, *left)


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3:])
