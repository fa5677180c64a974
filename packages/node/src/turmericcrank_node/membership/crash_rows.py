"""Encodes crashes and blocks for messages between nodes."""

from collections.abc import Iterable
from typing import Any

from turmericcrank_core.crash_block import CrashBlock
from turmericcrank_core.crash_evidence import CrashRecord, Suspect

__all__ = ('make_block_row', 'make_crash_row', 'parse_block', 'parse_crash')


def make_crash_row(crash: CrashRecord) -> list[Any]:
    """Encode a crash: upstream, time, and a row for each suspect."""
    suspects = sorted(
        [suspect.fingerprint, sorted(suspect.parts), suspect.has_begun]
        for suspect in crash.suspects
    )
    return [crash.upstream_id, crash.at_s, suspects]


def parse_crash(
    upstream_id: str, at_s: float, suspects: Iterable[Iterable[Any]]
) -> CrashRecord:
    """Decode a crash from the fields of its row."""
    return CrashRecord(
        upstream_id,
        at_s,
        frozenset(
            Suspect(fingerprint, frozenset(parts), has_begun)
            for fingerprint, parts, has_begun in suspects
        ),
    )


def make_block_row(block: CrashBlock) -> list[Any]:
    """Encode a block: its keys, and its fields in order."""
    return [
        sorted(block.keys),
        block.since_s,
        block.crash_s,
        block.n_tests,
        block.tested_s,
        block.lifted_s,
    ]


def parse_block(keys: Iterable[str], *fields: Any) -> CrashBlock:
    """Decode a block from the fields of its row."""
    return CrashBlock(frozenset(keys), *fields)
