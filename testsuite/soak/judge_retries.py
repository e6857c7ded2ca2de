"""Judges whether the entries kept to the limit on retries, by what arrived."""

import retry_judge
from soak import judge_statements

# The defaults of an entry's settings.
WINDOW_MS = 10000
RATIO = 0.2
SLACK = 100


def find_exceeded(service, logs, sent_ms):
    """Returns a line if more retries arrived in a window than are allowed.

    `logs` has the lines of each replica of the service, `sent_ms` the times at
    which callers sent calls for it.
    """
    calls = [process for lines in logs
             for process in judge_statements.read_calls(lines).values()]
    most, allowed, begin = retry_judge.worst_window(
        retry_judge.retry_times(calls), sorted(sent_ms), WINDOW_MS, RATIO,
        SLACK)
    if most <= allowed:
        return []
    return ["%s got %d retries in the window from %.2f s, allowed %.1f" % (
        service, most, begin / 1000, allowed)]
