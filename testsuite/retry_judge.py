"""Judges whether all entries together keep to the limit on retries.

An arrival beyond the first of its call, at any replica of a service, is a
retry, whatever became of either. In any window these are limited by a ratio of
the calls for the service and a slack. The calls are those that callers sent in
that window, in the one before it or in the one half a window before it,
whichever has most.
"""

import bisect


def retry_times(logs):
    """Times (ms) of the arrivals beyond the first of each call, sorted."""
    arrivals = sorted((call["at_ms"], call["call"])
                      for log in logs for call in log)
    seen = set()
    retries = []
    for at_ms, call in arrivals:
        if call in seen:
            retries.append(at_ms)
        seen.add(call)
    return retries


def count(times, begin, end):
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, begin)


def allowed(sent, begin, window_ms, ratio, slack):
    """Retries allowed in the window that begins at `begin`."""
    calls = max(count(sent, begin - shift, begin - shift + window_ms)
                for shift in (0, window_ms / 2, window_ms))
    return ratio * calls + slack


def worst_window(retries, sent, window_ms, ratio, slack):
    """The window that is closest to its limit, or furthest beyond it.

    Returns (retries, allowed, begin) of it. `retries` and `sent` are sorted
    times in ms.
    """
    windows = [(count(retries, begin, begin + window_ms),
                allowed(sent, begin, window_ms, ratio, slack), begin)
               for begin in retries]
    return max(windows, key=lambda each: each[0] - each[1],
               default=(0, slack, 0))
