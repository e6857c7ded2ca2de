"""Judges whether calls kept to the regions of their route and to evacuations.

Works on the logs of the replicas, which outlive their processes.
"""

import collections
import re

# The operator's request for data centre `data_center` was acknowledged at
# `begin`, and its removal was sent at `end` (ms of the monotonic clock).
Evacuation = collections.namedtuple("Evacuation", "data_center begin end")
# A call that arrived at replica `name` in `data_center`.
Arrival = collections.namedtuple("Arrival", "name data_center call at_ms")

# Time after the acknowledgement from which on no call may arrive, and by how
# much an outage of the store may extend it.
BOUND_MS = 5000
OUTAGE_MS = 5000

ARRIVED = re.compile(r"event=arrived call=(\S+) .*?at_ms=(\d+)")


def read_arrivals(name, data_center, lines):
    return [Arrival(name, data_center, found.group(1), int(found.group(2)))
            for found in map(ARRIVED.search, lines) if found]


def is_harmed(harmed, names, at_ms):
    """Whether one of the processes `names` was disturbed at `at_ms`."""
    return any(begin <= at_ms <= end
               for name in names for begin, end in harmed.get(name, []))


def find_late(evacuations, arrivals, entry_of, harmed, outages):
    """Returns a line for each call at an evacuated data centre after the bound.

    `harmed` maps processes to times (ms) in which they or their links were
    disturbed; `outages` has those of the store.
    """
    late = []
    for evacuation in evacuations:
        bound = evacuation.begin + BOUND_MS
        if any(begin <= bound and end >= evacuation.begin
               for begin, end in outages):
            bound += OUTAGE_MS
        for arrival in arrivals:
            entry = entry_of.get(arrival.call)
            if arrival.data_center == evacuation.data_center and entry and \
                    bound < arrival.at_ms < evacuation.end and \
                    not is_harmed(harmed, (entry, arrival.name),
                                  arrival.at_ms):
                late.append("%s got %s from %s %.0f ms after the evacuation "
                            "of %s" % (arrival.name, arrival.call, entry,
                                       arrival.at_ms - evacuation.begin,
                                       arrival.data_center))
    return late


def find_outside(allowed, arrivals, kind_of):
    """Returns a line for each call outside the data centres of its kind.

    `allowed` maps kinds of calls to data centres; others may go anywhere.
    """
    return ["%s in %s got %s" % (arrival.name, arrival.data_center,
                                 arrival.call)
            for arrival in arrivals
            if arrival.data_center not in allowed.get(
                kind_of.get(arrival.call), (arrival.data_center,))]
