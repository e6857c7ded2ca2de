"""Checks the invariants that hold under all faults against the records of
callers and replicas."""

import collections

import harness
import platform_fleet
from soak import (judge_evacuations, judge_limits, judge_lost, judge_retries,
                  judge_statements)
from soak.callers import DEADLINE_MS
from soak.deployment import KEY_BOUND

# Longest time of a call in seconds. An entry that is frozen reads a call when
# it resumes, at most 6.5 s after the call was sent, and the caller's deadline
# of 6 s starts then.
LATEST = 13.5
OWN_REFUSALS = (502, 503, 504)
# Statuses that promise that a call has not run.
PROMISES = (408, 421, 429, 503)
# How runs end that a replica ends with a status of its own.
FAILED = "failed_"


def ends_of_runs(cluster, replicas):
    """Maps each call to how its runs ended, by the logs of all replicas."""
    ends = collections.defaultdict(list)
    for replica in replicas:
        with open(cluster.path(replica["name"] + ".log"),
                  errors="replace") as log:
            for call, how in judge_lost.ends_of_runs(log).items():
                ends[call] += how
    return ends


def own_statuses(ends):
    """Statuses with which replicas themselves ended runs of a call."""
    return {int(how[len(FAILED):]) for how in ends
            if how and how.startswith(FAILED)}


def check_answer(outcome, ends, problems):
    """Checks the response of one call against how its runs ended."""
    if outcome.took > LATEST:
        problems.append("answered after %.1f s" % outcome.took)
    if outcome.status is None:
        return
    stamped = "x-verbenalead-server-stamp" in outcome.headers
    if outcome.status == 200:
        if not stamped:
            problems.append("a success without a replica's stamp")
        expected = platform_fleet.events(outcome.events) \
            if outcome.kind == "draft" else \
            b"ran: /%s/x" % outcome.kind.encode()
        if outcome.whole and outcome.body != expected:
            problems.append("another body: %r" % outcome.body[:200])
        if not expected.startswith(outcome.body):
            problems.append("events missing or twice: %r" % outcome.body[:200])
    elif stamped:
        # A failure of a replica passes unchanged.
        if outcome.status not in own_statuses(ends):
            problems.append("a stamp beside a status that no replica gave")
        if outcome.body != b"failed: /%s/x" % outcome.kind.encode():
            problems.append("another body: %r" % outcome.body[:200])
    elif outcome.status == 401:
        if not outcome.guest:
            problems.append("a key that was never removed was refused")
    elif outcome.status not in OWN_REFUSALS:
        problems.append("status %d" % outcome.status)
    elif outcome.status == 503 and "retry-after" not in outcome.headers:
        problems.append("a refusal without the time to come back")


def check_runs(outcome, runs, barred, problems):
    """Checks the response of one call against how often the call ran."""
    if outcome.kind != "draft" and runs > 1:
        problems.append("ran %d times" % runs)
    if outcome.status in (401,) + PROMISES and runs > 0:
        problems.append("refused as not run, but ran %d times" % runs)
    if outcome.status == 200 and outcome.whole and runs == 0:
        problems.append("answered, though no replica ran it")
    for since, until in barred:
        if outcome.guest and runs > 0 and \
                since + KEY_BOUND < outcome.sent < until - outcome.took:
            problems.append("ran %.2f s after its key was removed" % (
                outcome.sent - since))


def find_excess_retries(deployment, outcomes):
    """Returns a line for each service that got too many retries."""
    broken = []
    for service in sorted(set(deployment.services.values())):
        logs = []
        for replica in deployment.replicas:
            settings = deployment.cluster.settings[replica["name"]][1]
            if settings["service"] == service:
                with open(deployment.cluster.path(replica["name"] + ".log"),
                          errors="replace") as log:
                    logs.append(log.readlines())
        broken += judge_retries.find_exceeded(
            service, logs, [1000 * outcome.sent for outcome in outcomes
                            if deployment.services[outcome.kind] == service])
    return broken


def find_misplaced(deployment, outcomes, injector):
    """Returns a line for each call at a data centre where it must not run."""
    arrivals = []
    for replica in deployment.replicas:
        settings = deployment.cluster.settings[replica["name"]][1]
        with open(deployment.cluster.path(replica["name"] + ".log"),
                  errors="replace") as log:
            arrivals += judge_evacuations.read_arrivals(
                replica["name"], settings["data_center"], log)
    return judge_evacuations.find_late(
        injector.evacuations, arrivals,
        {outcome.call: outcome.entry for outcome in outcomes},
        injector.harmed, injector.outages()
    ) + judge_evacuations.find_outside(
        deployment.allowed, arrivals,
        {outcome.call: outcome.kind for outcome in outcomes})


def find_broken(deployment, outcomes, injector):
    """Returns a line for each violated invariant."""
    broken = ["%s ended by itself" % name for name in injector.ended]
    ends = ends_of_runs(deployment.cluster, deployment.replicas)
    lost = judge_lost.find_lost(outcomes, ends, injector.disturbances,
                                DEADLINE_MS / 1000, injector.stops)
    for outcome in outcomes:
        problems = ["lost: its runs ended %s" % ends[outcome.call]] \
            if outcome in lost else []
        check_answer(outcome, ends[outcome.call], problems)
        check_runs(outcome, len(ends[outcome.call]), injector.barred, problems)
        for problem in problems:
            broken.append("%s (%s by %s, sent at %.2f s, status %s): %s" % (
                outcome.call, outcome.kind, outcome.entry,
                outcome.sent - injector.begun, outcome.status, problem))
    for name in list(injector.limits):
        injector.end_limit(name)
    broken += judge_limits.find_exceeded(
        injector.ended_limits,
        {replica["name"]: deployment.arrivals(replica)
         for replica in deployment.replicas})
    entry_of = {outcome.call: outcome.entry for outcome in outcomes}
    heard = set()
    for entry in deployment.entries:
        with open(deployment.cluster.path(entry["name"] + ".log"),
                  errors="replace") as log:
            heard |= judge_statements.heard_statements(log)
    for replica in deployment.replicas:
        harmed = dict(injector.harmed)
        own_id = deployment.cluster.settings[replica["name"]][1]["id"]
        harmed[None] = injector.harmed.get(replica["name"], [])
        with open(deployment.cluster.path(replica["name"] + ".log"),
                  errors="replace") as log:
            broken += judge_statements.find_ignored(
                replica["name"], log, entry_of, harmed,
                {call for call, at in heard if at == own_id})
    broken += find_excess_retries(deployment, outcomes)
    broken += find_misplaced(deployment, outcomes, injector)
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
    """Waits until all entries serve and all engines have the newest weights."""
    deployment.serve_all("after the faults")
    engines = [replica for replica in deployment.replicas
               if replica["target"] in deployment.cluster.processes]
    for replica in engines:
        harness.wait_for(
            "the newest weights on " + replica["name"],
            lambda: deployment.state(replica)["version"] == injector.weights)
