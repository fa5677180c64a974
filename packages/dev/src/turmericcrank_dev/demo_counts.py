"""Counts what came of the requests of the demo."""

import json
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from turmericcrank_core.billing import check_bill
from turmericcrank_core.codes import ResultCode
from turmericcrank_core.event_codes import EventCode

from turmericcrank_dev.caller import Outcome
from turmericcrank_dev.site import Site

__all__ = ('RunCounts', 'TrafficRecord', 'count_all', 'find_unknown')

_BILL_LIMIT_S = 10


@dataclass(slots=True)
class TrafficRecord:
    """Requests sent by all clients and their results.

    Attributes:
        lock: Guards the other fields; clients run in threads.
        outcomes: Result of each request, by request name.
        bookings: Names of the bookings that were confirmed.
    """

    lock: Any = field(default_factory=threading.Lock)
    outcomes: dict[str, Outcome] = field(default_factory=dict)
    bookings: set[str] = field(default_factory=set)

    def add(self, name: str, outcome: Outcome) -> None:
        """Record the result of one request."""
        with self.lock:
            self.outcomes[name] = outcome


def find_unknown(
    outcomes: dict[str, Outcome], killed_node_log: str, *other_logs: str
) -> frozenset[str]:
    """Return the bookings that the killed node may or may not have run.

    Their client was told so, no other node won the claim, and the killed node
    did not come to keep an answer. It may have been killed before it learned
    that its claim was written.

    Args:
        outcomes: Result of each request, by request name.
        killed_node_log: Log of the killed node.
        *other_logs: Logs of the other nodes.
    """
    settled = _list_claims(killed_node_log, EventCode.answer_kept)
    for log in other_logs:
        settled |= _list_claims(log, EventCode.claim_won)
    return frozenset(
        name
        for name, outcome in outcomes.items()
        if outcome.code == ResultCode.outcome_unknown
        and name.removeprefix('booking ') not in settled
    )


def _list_claims(log: str, code: EventCode) -> set[str]:
    """Return the names of the bookings whose claims have an event.

    The last line of a log that is being written may not be complete.
    """
    complete = log.rpartition('\n')[0]
    events = (json.loads(line) for line in complete.splitlines())
    return {
        event['claim'].rpartition('key-')[2]
        for event in events
        if event['event'] == code
    }


@dataclass(slots=True)
class RunCounts:
    """Request, bill and booking counts of one run."""

    n_sent: int
    n_answered: int
    n_rejected: int
    n_billed: int
    n_duplicated: int
    n_lost: int
    versions: Counter[str]


def count_all(
    site: Site,
    service_port: int,
    record: TrafficRecord,
    unknown: frozenset[str],
) -> RunCounts:
    """Count requests, bills and bookings, once the bills have been written.

    Args:
        site: The running site.
        service_port: Port of the booking service.
        record: Requests and their results.
        unknown: Names of the bookings with an unknown outcome.
    """
    answered = [
        outcome for outcome in record.outcomes.values() if outcome.is_complete
    ]
    n_rejected = sum(
        outcome.ran == 'not run'
        for outcome in record.outcomes.values()
        if not outcome.is_complete
    )
    bill_ids = _wait_for_bills(site, len(answered))
    journal = Counter(row['bay'] for row in site.read_journal(service_port))
    n_settled = len(answered) + n_rejected + len(unknown)
    n_open = len(record.outcomes) - n_settled
    n_unbilled = max(0, len(answered) - len(bill_ids))
    n_unbooked = len(record.bookings - set(journal))
    return RunCounts(
        len(record.outcomes),
        len(answered),
        n_rejected,
        len(bill_ids),
        _count_duplicates(bill_ids) + _count_duplicates(journal),
        n_open + n_unbilled + n_unbooked,
        Counter(outcome.version or 'booking@1' for outcome in answered),
    )


def _wait_for_bills(site: Site, n_expected: int) -> Counter[str]:
    found: Counter[str] = Counter()
    deadline_s = time.monotonic() + _BILL_LIMIT_S
    while time.monotonic() < deadline_s and len(found) < n_expected:
        found = Counter(
            check_bill(raw).bill_id
            for row in site.scan_table('bills')
            for raw in row['body']
        )
        time.sleep(0.2)
    return found


def _count_duplicates(counts: Counter[str]) -> int:
    return sum(count - 1 for count in counts.values())
