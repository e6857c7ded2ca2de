"""A rollout, a pause, a failed load and a rollback under steady load.

Each request gets a complete response of one declared version, which the
response names. Eight hosts serve, and the rollout may shut at most two at once.
First v2 is paused and resumed. Then v3 fails to load, which must stop the
rollout and report host and reason. Then v2 is declared again, which must not
fetch anything from the origin.
"""

import json

import harness
from steady_callers import SteadyCallers

HOSTS = 8
MOST_SHUT = 2
MODEL_BYTES = 8 << 20
POOL = "drafting"
TIMEOUT = 60


def declare_pool(cluster, version, paused=False):
    cluster.apply({"kind": "pool", "name": POOL, "spec": {
        "version": version,
        "rollout": {"max_unavailable_percent": 25, "paused": paused}}})


def hosts_status(cluster):
    done = cluster.vlctl("-o", "json", "rollout", "status", POOL)
    return json.loads(done.stdout)["hosts"]


def stages(cluster):
    return [host["stage"] for host in hosts_status(cluster)]


def origin_bytes(cluster):
    return harness.call(cluster.origin, "GET", "/stats").json()["bytes"]


def shut_spans(cluster):
    """Times at which the rollout shut (1) and opened (-1) gates, from logs."""
    events = []
    for target in cluster.targets:
        shut = False
        with open(cluster.path(target["name"] + ".log")) as log:
            for line in log:
                stamp = " ".join(line.split()[:2])
                if "event=gate_shut" in line and "reason=load" in line:
                    shut = True
                    events.append((stamp, 1))
                if "event=gate_opened" in line and shut:
                    shut = False
                    events.append((stamp, -1))
    return sorted(events)


def most_shut(cluster, skip):
    """Largest number of gates that were shut at once.

    At the same instant, openings count before closings.
    """
    shut = most = 0
    for _, change in shut_spans(cluster)[skip:]:
        shut += change
        most = max(most, shut)
    return most


def body(cluster):
    for number in range(2):
        cluster.add_entry("entry-%d" % number)
    for number in range(HOSTS):
        cluster.add_target("target-%d" % number, POOL)
    cluster.start_platform()
    cluster.start_host_list()
    cluster.start_hosts()
    versions = [cluster.make_version("v%d" % number, "breakdowns", MODEL_BYTES,
                                     seed=number) for number in (1, 2, 3)]
    v1, v2, v3 = [version["spec"]["digest"] for version in versions]
    cluster.apply(versions + [
        {"kind": "limits", "name": "acme", "spec": {"weight": 1}}])
    declare_pool(cluster, "v1")
    cluster.apply({"kind": "route", "name": "breakdowns",
                   "spec": {"pool": POOL}})
    harness.wait_for("v1 everywhere",
                     lambda: all(len(cluster.live(v1, entry)) == HOSTS
                                 for entry in range(2)), TIMEOUT)
    first = len(shut_spans(cluster))
    with SteadyCallers(cluster, "breakdowns", {v1, v2, v3}) as callers:
        declare_pool(cluster, "v2", paused=True)
        harness.wait_for("all wait for the pause to end",
                         lambda: stages(cluster) == ["waiting"] * HOSTS,
                         TIMEOUT)
        assert len(cluster.live(v1)) == HOSTS, "loaded in a pause"
        cluster.vlctl("rollout", "resume", POOL)
        harness.wait_for("v2 everywhere",
                         lambda: len(cluster.live(v2)) == HOSTS, TIMEOUT)

        for target in cluster.targets:
            cluster.faults(target["backend"], fail_load=True)
        declare_pool(cluster, "v3")
        harness.wait_for("the rollout stopped",
                         lambda: all(stage in ("failed", "waiting")
                                     for stage in stages(cluster))
                         and "failed" in stages(cluster), TIMEOUT)
        failed = [host for host in hosts_status(cluster)
                  if host["stage"] == "failed"]
        assert len(failed) <= MOST_SHUT, failed
        assert all("out of memory" in host["reason"] for host in failed), failed
        harness.wait_for("v2 still serves",
                         lambda: len(cluster.live(v2)) == HOSTS, TIMEOUT)

        before = origin_bytes(cluster)
        for target in cluster.targets:
            cluster.faults(target["backend"])
        cluster.vlctl("rollout", "undo", POOL)
        harness.wait_for("v2 in force everywhere",
                         lambda: stages(cluster) == ["in force"] * HOSTS,
                         TIMEOUT)
        declare_pool(cluster, "v1")
        harness.wait_for("v1 everywhere",
                         lambda: len(cluster.live(v1)) == HOSTS, TIMEOUT)
        cluster.vlctl("rollout", "undo", POOL)
        harness.wait_for("v2 everywhere again",
                         lambda: len(cluster.live(v2)) == HOSTS, TIMEOUT)
        rollback = origin_bytes(cluster) - before
    print("outcomes %s, versions %s, rollbacks drew %d bytes" % (
        callers.outcomes, sorted(callers.served.values()), rollback))
    most = most_shut(cluster, first)
    print("most gates shut at once: %d" % most)
    assert not callers.wrong, callers.wrong[:5]
    assert set(callers.outcomes) == {"completed"}, callers.outcomes
    assert {v1, v2} <= set(callers.served), callers.served
    assert most <= MOST_SHUT, most
    return most


harness.run_case(body)
