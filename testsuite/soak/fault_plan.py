"""Generates a random schedule of faults from a seed."""

import collections
import random

Fault = collections.namedtuple("Fault", "at kind victim lasts")

# Weights of the kinds of faults in the random choice. Faults of the store
# affect every process; each other fault affects one.
KINDS = {
    "kill_entry": 3, "kill_target": 2, "kill_replica": 2, "stop_entry": 3,
    "stop_target": 1, "freeze_entry": 3, "freeze_target": 2,
    "freeze_replica": 2, "store_down": 2, "store_hangs": 1, "store_slow": 1,
    "store_forgets": 1, "store_loses": 1, "link_silent": 4, "link_one_way": 3,
    "link_cut": 4, "link_slow": 2, "revoke": 2, "revoke_asleep": 3, "configure": 3, "storm": 2,
    "declare": 2}
# Kinds and weights of a run without unplanned faults: planned operations, and
# replicas that pause for a while. None of these excuses a truncated response.
PLANNED = {"stop_entry": 3, "hup_entry": 2, "configure": 3, "storm": 3,
           "large": 2, "revoke": 1, "declare": 1, "pause_replica": 6}
LONGEST_FREEZE = 6.5
LONGEST_PAUSE = 2.8
LONGEST_OUTAGE = 3.0


# Limits that replicas name, in requests a second; the last is none.
LIMITS = ("0.3", "1", "2.3", "10", "0", "-1", "x", "")
LONGEST_LIMIT = 8.0


def draw_limits(seed, seconds):
    """Returns the limits that replicas name during a run.

    They have a random sequence of their own, so that a seed gives the same
    faults with and without them. `lasts` is the time until the replica's limit
    changes again; `kind` has the text of the limit behind a space.
    """
    rng = random.Random("limits %d" % seed)
    faults = []
    # The first six replicas of a small deployment are four engines and two of
    # the plain service.
    for victim in rng.sample(range(6), 3):
        at = 0.5
        while at < seconds - LONGEST_LIMIT / 2:
            lasts = round(rng.uniform(0.5, LONGEST_LIMIT), 2)
            limit = rng.choice(LIMITS)
            faults.append(Fault(round(at, 2), "limit " + limit,
                                victim, lasts))
            at += lasts
    return sorted(faults)


# Rests for which replicas ask, in seconds, while they turn all calls away.
RESTS = ("0.4", "1", "3", "3", "0", "-1", "x", "")
LONGEST_REST = 5.0
# Longest time from the first answer that says that a replica leaves to its end.
LONGEST_LEAVING = 6.0


def draw_statements(seed, seconds):
    """Returns when replicas leave or ask for rests in their answers.

    Like the limits, these have a random sequence of their own, and the text of
    a rest stands in `kind` behind a space. `lasts` is the time until the replica
    takes calls again: after a rest, or as a new process.
    """
    rng = random.Random("statements %d" % seed)
    faults = []
    # Of the first six replicas of a small deployment one always stays.
    for victim in rng.sample(range(6), 4):
        at = rng.uniform(0.5, 3.0)
        while at < seconds * 0.75:
            leaves = rng.random() < 0.3
            lasts = round(rng.uniform(
                2.5 if leaves else 0.3,
                LONGEST_LEAVING if leaves else LONGEST_REST), 2)
            kind = "leave" if leaves else "rest " + rng.choice(RESTS)
            faults.append(Fault(round(at, 2), kind, victim, lasts))
            at += lasts + rng.choice((0.02, 0.5, 2.0))
    return sorted(faults)


# Statuses of their own with which replicas end runs. Some are those that
# rejections have.
OWN_STATUSES = (503, 503, 429, 408, 500, 504, 404)
# Percentage of its runs that such a replica ends so, and the longest time.
FAILED_PERCENT = 45
LONGEST_FAILING = 6.5


def draw_failures(seed, seconds):
    """Returns when replicas end some of their runs with an own status.

    Like the limits, these have a random sequence of their own. `kind` has the
    status and the percentage behind spaces.
    """
    rng = random.Random("failures %d" % seed)
    faults = []
    for victim in rng.sample(range(6), 3):
        at = rng.uniform(0.5, 3.0)
        while at < seconds - LONGEST_FAILING / 2:
            lasts = round(rng.uniform(1.0, LONGEST_FAILING), 2)
            kind = "fail %d %d" % (rng.choice(OWN_STATUSES), FAILED_PERCENT)
            faults.append(Fault(round(at, 2), kind, victim, lasts))
            at += lasts + rng.choice((0.02, 0.5, 2.0))
    return sorted(faults)


# How long a data centre is evacuated, in seconds: shorter and longer than the
# time after which no call may arrive there.
EVACUATED_FOR = (1.0, 7.0, 13.0)


def draw_evacuations(seed, seconds):
    """Returns when the operator evacuates data centres, one at a time.

    Like the limits, these have a random sequence of their own. `kind` has the
    data centre behind a space.
    """
    rng = random.Random("evacuations %d" % seed)
    faults = []
    at = rng.uniform(0.5, 2.0)
    while at < seconds * 0.75:
        lasts = rng.choice(EVACUATED_FOR)
        faults.append(Fault(round(at, 2), "evacuate " + rng.choice("ab"), 0,
                            lasts))
        at += lasts + rng.choice((0.3, 1.5, 3.0))
    return faults


# Returns of the store from a copy: how old it is and how long the store is
# away, in seconds, how long until lost rows are written again, and revisions
# that other writers use up at once.
COPY_AGES = (0.5, 1.5, 4.0, 9.0, 15.0)
AWAY = (0.0, 0.2, 1.0, 2.5)
WRITTEN_AGAIN_AFTER = (0.0, 0.3, 1.0)
SKIPPED = (0, 0, 20, 60, 2000)


def draw_returns(seed, seconds):
    """Returns when the store comes back from a copy, in series.

    Like the limits, these have a random sequence of their own. `kind` has the
    age of the copy, the time until rows are written again and the skipped
    revisions behind spaces; `lasts` is the time for which the store is away.
    """
    rng = random.Random("returns %d" % seed)
    faults = []
    at = rng.uniform(1.0, 4.0)
    while at < seconds * 0.75:
        kind = "store_returns %s %s %d" % (
            rng.choice(COPY_AGES), rng.choice(WRITTEN_AGAIN_AFTER),
            rng.choice(SKIPPED))
        lasts = rng.choice(AWAY)
        faults.append(Fault(round(at, 2), kind, 0, lasts))
        # A key is taken away right before, or just after the return.
        faults.append(Fault(round(at + rng.choice((-0.4, -0.05, lasts + 0.3,
                                                   lasts + 1.2)), 2),
                            "revoke", 0, 0.1))
        at += lasts + rng.choice((0.3, 1.5, 4.0))
    return sorted(faults)


def draw(seed, seconds, planned=False):
    """Returns the faults of a run in order of time.

    They start within the first three quarters of the run, so that the rest
    remains for recovery. `planned`: only the kinds of PLANNED.
    """
    rng = random.Random(seed)
    weights = PLANNED if planned else KINDS
    kinds = list(weights)
    faults = []
    at = 0.5
    while at < seconds * 0.75:
        kind = rng.choices(kinds, list(weights.values()))[0]
        longest = {"freeze": LONGEST_FREEZE, "pause": LONGEST_PAUSE}.get(
            kind.split("_")[0], LONGEST_OUTAGE)
        faults.append(Fault(round(at, 2), kind, rng.randrange(100),
                            round(rng.uniform(0.1, longest), 2)))
        # Produces bursts: several faults in quick succession, then a pause.
        at += rng.choice((0.02, 0.1, 0.3, 0.3, 1.0, 2.0))
    return faults
