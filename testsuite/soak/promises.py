"""The promises that hold whatever happens, checked against what callers and
replicas saw."""

import collections
import re

import harness
import platform_fleet
from soak.deployment import KEY_BOUND

# An entry reads a call that was sent while it was frozen when it wakes, 6.5 s
# later at most, and the caller's 6 s begin then.
LATEST = 13.5
OWN_REFUSALS = (502, 503, 504)
RAN = re.compile(r"event=ran call=(\S+) organisation=(\S+) weights=(\d+)")


def runs_of(cluster, replicas):
    """How often each call ran, from the replicas' logs."""
    runs = collections.Counter()
    for replica in replicas:
        with open(cluster.path(replica["name"] + ".log"),
                  errors="replace") as log:
            for line in log:
                found = RAN.search(line)
                if found:
                    runs[found.group(1)] += 1
    return runs


def check_answer(outcome, problems):
    """What a caller may see of one call, taken by itself."""
    if outcome.took > LATEST:
        problems.append("answered after %.1f s" % outcome.took)
    if outcome.status is None:
        return
    stamped = "x-verbenalead-server-stamp" in outcome.headers
    if outcome.status == 200:
        if not stamped:
            problems.append("a success without a replica's stamp")
        expected = platform_fleet.events(outcome.events) \
            if outcome.kind == "draft" else b"ran: /pay/x"
        if outcome.whole and outcome.body != expected:
            problems.append("another body: %r" % outcome.body[:200])
        if not expected.startswith(outcome.body):
            problems.append("events missing or twice: %r" % outcome.body[:200])
    elif outcome.status == 401:
        if not outcome.guest:
            problems.append("a key that was never removed was refused")
    elif outcome.status not in OWN_REFUSALS:
        problems.append("status %d" % outcome.status)
    elif outcome.status == 503 and not stamped and \
            "retry-after" not in outcome.headers:
        problems.append("a refusal without the time to come back")


def check_runs(outcome, runs, barred, problems):
    """What a caller was told, against how often its call ran."""
    if outcome.kind == "pay" and runs > 1:
        problems.append("ran %d times" % runs)
    if outcome.status in (401, 503) and runs > 0:
        problems.append("refused as not run, but ran %d times" % runs)
    if outcome.status == 200 and outcome.whole and runs == 0:
        problems.append("answered, though no replica ran it")
    for since, until in barred:
        if outcome.guest and runs > 0 and \
                since + KEY_BOUND < outcome.sent < until - outcome.took:
            problems.append("ran %.2f s after its key was removed" % (
                outcome.sent - since))


def find_broken(deployment, outcomes, injector):
    """A line for each broken promise."""
    broken = ["%s ended by itself" % name for name in injector.ended]
    runs = runs_of(deployment.cluster, deployment.replicas)
    for outcome in outcomes:
        problems = []
        check_answer(outcome, problems)
        check_runs(outcome, runs[outcome.call], injector.barred, problems)
        for problem in problems:
            broken.append("%s (%s by %s, sent at %.2f s, status %s): %s" % (
                outcome.call, outcome.kind, outcome.entry,
                outcome.sent - injector.begun, outcome.status, problem))
    for replica in deployment.replicas:
        if deployment.state(replica)["bad_loads"] != 0:
            broken.append("%s loaded chunks of another version" %
                          replica["name"])
    return broken


def served_share(outcomes):
    served = sum(outcome.status == 200 and outcome.whole
                 for outcome in outcomes)
    return served / max(1, len(outcomes))


def settle(deployment, injector):
    """After the last fault everything works again, on the newest weights."""
    deployment.serve_all("after the faults")
    engines = [replica for replica in deployment.replicas
               if replica["target"] in deployment.cluster.processes]
    for replica in engines:
        harness.wait_for(
            "the newest weights on " + replica["name"],
            lambda: deployment.state(replica)["version"] == injector.weights)
