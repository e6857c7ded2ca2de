"""Judges whether a replica got more requests than its rate limit allows."""

import bisect

WINDOW_MS = 4000
# Time after the first naming of a limit from which it has to be kept.
SETTLE_MS = 3000


def allowed(limit):
    """Most requests in any window for a limit of `limit` a second."""
    return 1.5 * WINDOW_MS / 1000 * limit + 5


def worst_window(arrivals, begin, end):
    """Most arrivals in any window that lies within `begin` and `end` (ms)."""
    times = sorted(at for at in arrivals if begin <= at < end)
    worst = 0
    for index, at in enumerate(times):
        worst = max(worst,
                    bisect.bisect_left(times, at + WINDOW_MS) - index)
    return worst


def rate(arrivals, begin, end):
    """Arrivals a second between `begin` and `end` (ms)."""
    return sum(begin <= at < end for at in arrivals) * 1000 / (end - begin)
