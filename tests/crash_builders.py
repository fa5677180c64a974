"""Builders of crashes, and what is blamed for them."""

from turmericcrank_core.crash_evidence import CrashRecord, Suspect, add_crash
from turmericcrank_core.part_judgement import find_part_groups
from turmericcrank_core.request_judgement import find_requests

__all__ = ('LATER_S', 'crash', 'crash_prompts', 'list_culprits')

LATER_S = float('inf')


def crash(history, upstream_id, at_s, *fingerprints):
    """Crash an upstream with requests that have no parts."""
    suspects = frozenset(map(Suspect, fingerprints))
    add_crash(history, CrashRecord(upstream_id, at_s, suspects))


def crash_prompts(history, at_s, *prompts):
    """Crash an upstream with prompts, each a fingerprint and its parts.

    The upstream has begun to respond to the first of them.
    """
    suspects = frozenset(
        Suspect(fingerprint, frozenset(parts.split()), has_begun=index == 0)
        for index, (fingerprint, parts) in enumerate(prompts)
    )
    add_crash(history, CrashRecord(f'u{at_s}', at_s, suspects))


def list_culprits(history):
    groups = find_part_groups(history, {}, LATER_S)
    known = dict.fromkeys(groups, LATER_S)
    culprits = groups + find_requests(history, known)
    return {' '.join(sorted(keys)) for keys in culprits}
