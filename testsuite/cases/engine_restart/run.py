"""An engine dies and restarts without weights while calls continue.

No caller gets a response that is not of the declared version. The target's gate
must shut without waiting for the next poll of the engine, stay shut while the
engine is down or has no weights, and open once it has loaded them again.
"""

import datetime

import harness
from steady_callers import SteadyCallers

POOL = "drafting"
TARGETS = 3
MODEL_BYTES = 8 << 20
TIMEOUT = 60


def gate_shut_at(cluster, name):
    """Time at which the target logged that its gate shut, or None."""
    with open(cluster.path(name + ".log")) as log:
        for line in log:
            if "event=gate_shut" in line:
                stamp = line.split()[0].removeprefix("time=").rstrip("Z")
                return datetime.datetime.fromisoformat(stamp)
    return None


def body(cluster):
    cluster.add_entry("entry-0")
    for number in range(TARGETS):
        cluster.add_target("target-%d" % number, POOL)
    cluster.start_platform()
    cluster.start_host_list()
    cluster.start_hosts()
    version = cluster.make_version("v1", "breakdowns", MODEL_BYTES)
    digest = version["spec"]["digest"]
    cluster.apply([
        version, {"kind": "limits", "name": "acme", "spec": {"weight": 1}},
        {"kind": "pool", "name": POOL, "spec": {"version": "v1"}},
        {"kind": "route", "name": "breakdowns", "spec": {"pool": POOL}}])
    harness.wait_for("v1 everywhere",
                     lambda: len(cluster.live(digest)) == TARGETS, TIMEOUT)
    engine = "target-0-backend"
    with SteadyCallers(cluster, "breakdowns", {digest}) as callers:
        killed_at = datetime.datetime.now(datetime.timezone.utc)
        cluster.processes[engine].kill()
        harness.wait_for("the gate shut",
                         lambda: gate_shut_at(cluster, "target-0"), TIMEOUT)
        delay = (gate_shut_at(cluster, "target-0")
                 - killed_at.replace(tzinfo=None))
        harness.wait_for("the entry knows",
                         lambda: "target-0" not in cluster.live(digest),
                         TIMEOUT)
        cluster.restart(engine)
        harness.wait_for("loaded again",
                         lambda: len(cluster.live(digest)) == TARGETS, TIMEOUT)
    print("outcomes %s, gate shut %.0f ms after the kill" % (
        callers.outcomes, delay.total_seconds() * 1000))
    assert not callers.wrong, callers.wrong[:5]
    assert callers.outcomes["completed"] > 0, callers.outcomes


harness.run_case(body)
