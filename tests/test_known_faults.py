"""Faults found by reading the code and not yet mended: each test states the right behaviour and fails until then.

KNOWN-RED.txt lists these tests.
"""

from __future__ import annotations

import asyncio

import pytest

from mastlift.consensus.coalescing import CoalescedCall
from mastlift.durable import frames
from mastlift.durable.check import check_folder
from mastlift.durable.journal import open_journal, read_folder
from mastlift.durable.segments import Damaged, segment_name
from mastlift.durable.snapshot import snapshot_name
from mastlift.lab.crash import LIFE
from mastlift.lab.simdisk import SimDisk
from mastlift.store.machine import Store
from proxy.client_request import origin_form


class EntryCounter:
    """A state machine that accepts any frame and counts its entries."""

    def __init__(self) -> None:
        self.entries = 0

    def load(self, block: bytes) -> None:
        self.entries = int(block)

    def reset(self) -> None:
        self.entries = 0

    def replay(self, first: int, count: int, body: bytes) -> None:
        self.entries += count


def flip_bit(disk: SimDisk, name: str, offset: int) -> None:
    data = bytearray(disk.files()[name])
    data[offset] ^= 4
    disk.put(name, bytes(data))


def test_an_undecodable_frame_is_reported_at_the_offset_where_it_begins() -> None:
    """The reported offset is the padded end of the frame less the size of its body, so the padding shifts it."""
    disk = SimDisk()
    journal, _ = open_journal(disk, "a", Store(), lambda: LIFE)
    journal.append(1, b"\xc1\xc1")  # no valid MessagePack
    journal.close()
    with pytest.raises(Damaged, match="can't be decoded") as caught:
        read_folder(disk, Store())
    assert caught.value.offset == frames.SEGMENT_HEADER_SIZE


@pytest.mark.parametrize(
    ("target", "expected"),
    [(b"http://h?x=1", b"/?x=1"), (b"http://h?x=a/b", b"/?x=a/b")],
    ids=["no slash in the query", "a slash in the query"],
)
def test_an_absolute_target_without_a_path_keeps_its_query(target: bytes, expected: bytes) -> None:
    """The path is taken to start at the first slash behind the scheme, even if there is none or it is in the query
    (RFC 9112, section 3.2.1)."""
    assert origin_form(target) == expected


def test_the_check_reads_every_segment_if_no_snapshot_is_valid() -> None:
    """The check starts at the oldest damaged snapshot, so it passes over damage in a segment that recovery needs."""
    disk = SimDisk()
    journal, _ = open_journal(disk, "a", EntryCounter(), lambda: LIFE, segment_bytes=2 * frames.SECTOR)
    for _ in range(4):
        journal.append(1, b"entry")
    writer = journal.snapshot_writer(journal.last)
    writer.write(b"%d" % journal.last)
    writer.finish()
    journal.snapshot_done(journal.last)
    journal.append(1, b"entry")
    snapshot = snapshot_name(journal.last - 1)
    journal.close()
    assert check_folder(disk).damage == []
    flip_bit(disk, snapshot, -1)
    machine = EntryCounter()
    read_folder(disk, machine)
    assert machine.entries == 5  # recovered from the first segment on
    flip_bit(disk, segment_name(1), frames.SEGMENT_HEADER_SIZE + 60)
    with pytest.raises(Damaged, match=segment_name(1)):
        read_folder(disk, EntryCounter())
    findings = check_folder(disk)
    assert [note for note in findings.notes if "needless" in note] == []
    assert segment_name(1) in " ".join(map(str, findings.damage))


def test_closing_a_coalesced_call_ends_the_wait_for_the_next_round_with_an_error() -> None:
    """The task that would start the next round is cancelled, and nothing else ends the future of that round."""

    async def wait_for_both_rounds() -> tuple[bool, bool]:
        never = asyncio.Event()

        async def ask() -> int:
            await never.wait()
            return 1

        async def ends_with_error() -> bool:
            try:
                await call.get()
            except (Exception, asyncio.CancelledError):
                return True
            return False

        async def let_all_tasks_run() -> None:
            for _ in range(20):
                await asyncio.sleep(0)

        call = CoalescedCall(ask)
        running = asyncio.create_task(ends_with_error())
        await let_all_tasks_run()
        waiting = asyncio.create_task(ends_with_error())
        await let_all_tasks_run()
        call.close()
        await let_all_tasks_run()
        results = (running.done() and running.result(), waiting.done() and waiting.result())
        waiting.cancel()
        return results

    assert asyncio.run(wait_for_both_rounds()) == (True, True)
