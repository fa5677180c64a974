"""Numeric codes of log events.

CI checks the catalogue in ``docs/EVENTS.md`` against this module.
"""

import enum

__all__ = ('EventCode',)


class EventCode(enum.IntEnum):
    """Code of a kind of log event."""

    node_started = 100
    drain_started = 102
    drain_left_addresses = 103
    node_stopped = 104
    settings_reloaded = 105
    lines_left_out = 106
    drain_ended = 107
    settings_rejected = 108
    request_received = 200
    request_sent = 201
    request_answered = 202
    request_refused = 203
    request_retried = 204
    request_cancelled = 205
    upstream_failed = 206
    request_poisoned = 207
    stream_resumed = 208
    attempt_failed = 209
    answer_doubted = 210
    stream_broken = 211
    attempt_ended = 212
    retry_refused = 213
    connection_discarded = 214
    crash_not_recorded = 215
    claim_won = 300
    claim_conflict = 301
    claim_undecided = 302
    claim_resolved = 303
    answer_kept = 304
    revision_adopted = 400
    revision_accepted = 402
    revision_conflict = 403
    row_rejected = 404
    table_read = 405
    bill_batch_written = 500
    bill_batch_failed = 501
    bill_batch_taken_over = 502
    member_silent = 601
    upstream_leaving = 602
    store_lost = 603
    store_found = 604
    store_history_lost = 605
    member_heard = 606
    news_not_sent = 607
    upstream_listed = 608
    upstream_missing = 609
    cell_changed = 610
    upstream_deferred = 611
    news_rejected = 612
    upstream_limit_changed = 613
    crash_block_changed = 614
    upstreams_cut_off = 615
    upstreams_reached = 616
    tunnel_used = 617
    tunnel_failed = 618
    tunnel_served = 619
    upstream_brittle = 620
    culprit_weighed = 621
    suspect_cleared = 622
    draft_kept = 700
    draft_taken = 701
    draft_finished = 702
    rollout_step = 800
    rollout_stopped = 801
    order_given = 802
    order_refused = 803
    rollout_heard = 804
    internal_fault = 900
