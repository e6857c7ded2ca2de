"""Finds lost responses: a replica ran the call, but its caller's connection
ended without a complete response.

The judgement rests on the records of callers and replicas. A call is excused if
its deadline had passed, if its replica broke off the response, or if it
coincided with an unplanned fault. Silence of a replica excuses nothing.
"""

import collections
import re

# A disturbance also excuses calls that are sent within this many seconds after
# its end.
SETTLES = 3.0
# In seconds. At its deadline a caller may close the connection at the moment at
# which the response that reports the deadline arrives.
TIME_MARGIN = 0.3
# In seconds: the grace period of an entry that is told to stop, and the time
# for which callers may still send it calls.
STOP_GRACE = 8.0
STOP_TAKES_CALLS = 3.0

RAN = re.compile(r"event=(ran|run_ended) call=(\S+)(?:.* how=(\w+))?")

Disturbance = collections.namedtuple("Disturbance", "begin end what")


def ends_of_runs(lines):
    """Maps each call to how its runs ended, in the order of a replica's log.

    None stands for a run without a logged end, as the replica was killed.
    """
    ends = collections.defaultdict(list)
    for line in lines:
        found = RAN.search(line)
        if not found:
            continue
        event, call, how = found.groups()
        if event == "ran":
            ends[call].append(None)
        elif ends[call]:
            # Runs of one call at one replica do not overlap, so that this end
            # belongs to the latest run.
            ends[call][-1] = how
    return ends


def is_whole(outcome):
    return outcome.status is not None and outcome.whole


def broken_off(ends):
    """Whether a replica broke the response off: no entry could save it."""
    return any(how in (None, "broken_off") for how in ends)


def disturbed(outcome, disturbances):
    begin, end = outcome.sent - SETTLES, outcome.sent + outcome.took
    return any(each.begin <= end and each.end >= begin
               for each in disturbances)


def ended_by_stop(outcome, stops):
    """Whether its entry, told to stop, gave the call all the time it has.

    `stops` has the times at which entries were sent SIGTERM. A replica that is
    still at work in the last sixth of the grace period is cut off, if the call
    was sent no later than STOP_TAKES_CALLS after the signal.
    """
    ended = outcome.sent + outcome.took
    return any(outcome.sent <= at + STOP_TAKES_CALLS and
               at + STOP_GRACE * 5 / 6 <= ended <= at + STOP_GRACE + TIME_MARGIN
               for at in stops)


def is_lost(outcome, ends, disturbances, deadline, stops=()):
    """`ends`: how the runs of the call ended, at all replicas."""
    return bool(ends) and not is_whole(outcome) and \
        not broken_off(ends) and \
        outcome.took < deadline - TIME_MARGIN and \
        not disturbed(outcome, disturbances) and \
        not ended_by_stop(outcome, stops)


def find_lost(outcomes, ends, disturbances, deadline, stops=None):
    """Returns those of `outcomes` whose responses were lost.

    `stops` maps the names of entries to the times at which they were stopped.
    """
    return [outcome for outcome in outcomes
            if is_lost(outcome, ends.get(outcome.call, ()), disturbances,
                       deadline, (stops or {}).get(outcome.entry, ()))]
