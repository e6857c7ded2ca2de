"""Finds answers that were lost: a replica had the call, and its caller's
connection ended without a whole answer.

Judged by what callers and replicas saw. Excused is a call whose time was over,
one that its replica broke off, and one beside a disturbance that nobody
planned. A replica's silence excuses nothing.
"""

import collections
import re

# A disturbance still excuses calls that are sent so long after its end.
SETTLES = 3.0
# A caller whose time ends closes at about the moment at which it is told.
TIME_MARGIN = 0.3

RAN = re.compile(r"event=(ran|run_ended) call=(\S+)(?:.* how=(\w+))?")

Disturbance = collections.namedtuple("Disturbance", "begin end what")


def ends_of_runs(lines):
    """How each run of a call ended, in the order of a replica's log, by call.

    None: the replica never said, as it was killed.
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
            # Runs of one call at one replica follow each other.
            ends[call][-1] = how
    return ends


def is_whole(outcome):
    return outcome.status is not None and outcome.whole


def broken_off(ends):
    """Whether a replica ended the answer: nobody could have kept it whole."""
    return any(how in (None, "broken_off") for how in ends)


def disturbed(outcome, disturbances):
    begin, end = outcome.sent - SETTLES, outcome.sent + outcome.took
    return any(each.begin <= end and each.end >= begin
               for each in disturbances)


def is_lost(outcome, ends, disturbances, deadline):
    """`ends`: how its runs ended, at all replicas."""
    return bool(ends) and not is_whole(outcome) and \
        not broken_off(ends) and \
        outcome.took < deadline - TIME_MARGIN and \
        not disturbed(outcome, disturbances)


def find_lost(outcomes, ends, disturbances, deadline):
    """The lost ones among `outcomes`."""
    return [outcome for outcome in outcomes
            if is_lost(outcome, ends.get(outcome.call, ()), disturbances,
                       deadline)]
