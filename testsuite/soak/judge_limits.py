"""Judges whether replicas got more requests than the limits that they named."""

import collections

import rate_judge

# A limit that replica `name` named as `text` from `begin` to `end` (ms).
Limit = collections.namedtuple("Limit", "name text begin end")


def rate_of(text):
    """The requests a second of a limit, or None if the text is none."""
    try:
        return max(0.0, float(text))
    except ValueError:
        return None


def find_exceeded(limits, arrivals):
    """Returns a line for each limit that was exceeded.

    `arrivals` maps replicas to the times (ms) at which calls arrived. Counts
    the calls of all entries, whether or not the limit was told to them.
    """
    exceeded = []
    for limit in limits:
        rate = rate_of(limit.text)
        if rate is None:
            continue
        worst = rate_judge.worst_window(
            arrivals[limit.name], limit.begin + rate_judge.SETTLE_MS,
            limit.end)
        if worst > rate_judge.allowed(rate):
            exceeded.append("%s got %d calls in 4 s at a limit of %s, allowed "
                            "%.1f" % (limit.name, worst, limit.text,
                                      rate_judge.allowed(rate)))
    return exceeded
