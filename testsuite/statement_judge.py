"""Judges whether entries keep to what a replica states in its answers.

Works on the log of the calls that arrived at a replica (`PlatformFleet.call_log`)
and on a map from the id of each call to the entry that sent it. A call whose
`heard` is false had no answer that reached its entry.
"""

import collections

# Time after which an entry that was told must have stopped sending.
LEAVING_MS = 2000
# Calls that were on their way when the rest was asked for arrive within this.
REST_GRACE_MS = 500
# Most calls from one entry in the rest of the time.
REST_CALLS = 2


def first_told(log, entry_of):
    """Maps entries to when an answer first told them that the replica leaves."""
    told = {}
    for call in log:
        entry = entry_of.get(call["call"])
        if entry and call["said_leaving"] and call.get("heard", True):
            told.setdefault(entry, call["at_ms"])
    return told


def sent_to_leaving(log, entry_of, excused=()):
    """Calls that reached a leaving replica too late, as (entry, ms after).

    `excused` has entries that restarted or were frozen since they were told.
    """
    told = first_told(log, entry_of)
    late = []
    for call in log:
        entry = entry_of.get(call["call"])
        if entry not in told or entry in excused:
            continue
        after = call["at_ms"] - told[entry]
        if call["said_leaving"] and after > LEAVING_MS:
            late.append((entry, after))
    return late


def seconds_of(text):
    """The rest that a `Retry-After` asks for; 0 if it isn't a number."""
    try:
        return max(0.0, float(text))
    except ValueError:
        return 0.0


def worst_rest(log, entry_of, excused=()):
    """Most calls that one entry sent within one rest, and that entry."""
    by_entry = collections.defaultdict(list)
    for call in log:
        entry = entry_of.get(call["call"])
        if entry and entry not in excused:
            by_entry[entry].append(call)
    worst = (0, None)
    for entry, calls in by_entry.items():
        for told in calls:
            if not told.get("heard", True):
                continue
            rest_ms = 1000 * seconds_of(told["retry_after"])
            begin = told["at_ms"] + REST_GRACE_MS
            end = told["at_ms"] + rest_ms
            count = sum(begin < call["at_ms"] < end for call in calls)
            worst = max(worst, (count, entry), key=lambda each: each[0])
    return worst
