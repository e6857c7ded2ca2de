"""Weights are declared twice while no replica can get them, and entries restart.

The store keeps the newest declaration alone. Older weights are barred by the bound
of the first one all the same, whether some of the entries restart or all at once,
and calls on them are served until then.
"""

import time

import harness
import platform_fleet

# Seconds from a declaration until no call may begin on older weights.
BOUND = 8.0
# Entries bar older weights a little before the bound.
MARGIN = 1.3
SECOND_AFTER = 2.5
WATCHED_AFTER_BOUND = 3.0


def restart_all(cluster, fleet):
    for entry in fleet.entries:
        cluster.processes[entry["name"]].kill()
    for entry in fleet.entries:
        cluster.restart(entry["name"])


def restart_half(cluster, fleet):
    """Restarts the entries that have another one read the store for them."""
    for entry in fleet.entries[1::2]:
        cluster.processes[entry["name"]].kill()
        cluster.restart(entry["name"])
        harness.wait_for(entry["name"], lambda: fleet.ready(entry))


def serves(fleet, entry, number):
    try:
        return fleet.draft(entry, number, 1).status == 200
    except OSError:
        return False


def runs(fleet):
    return sum(fleet.state(replica)["runs"] for replica in fleet.replicas)


def check(cluster, fleet, version, restart):
    fleet.declare(version)
    first = time.monotonic()
    time.sleep(SECOND_AFTER)
    fleet.declare(version + 1)
    time.sleep(0.3)
    restart(cluster, fleet)
    fleet.wait_ready()
    number = version * 10000
    served = 0
    while time.monotonic() < first + BOUND - MARGIN:
        for entry in fleet.entries:
            number += 1
            assert serves(fleet, entry, number), \
                "refused %.1f s after the first declaration" % (
                    time.monotonic() - first)
            served += 1
        time.sleep(0.05)
    assert served > 20, served
    while time.monotonic() < first + BOUND:
        time.sleep(0.02)
    before = runs(fleet)
    while time.monotonic() < first + BOUND + WATCHED_AFTER_BOUND:
        for entry in fleet.entries:
            number += 1
            assert not serves(fleet, entry, number), \
                "served %.1f s after the first declaration" % (
                    time.monotonic() - first)
        time.sleep(0.05)
    assert runs(fleet) == before


def body(cluster, restart):
    fleet = platform_fleet.PlatformFleet(cluster)
    fleet.start_platform()
    for data_center in ("a", "b"):
        for _ in range(2):
            fleet.add_replica(version=1, data_center=data_center)
    for data_center in ("a", "a", "b", "b"):
        fleet.add_entry(data_center)
    fleet.wait_ready()
    cluster.processes["origin"].kill()
    for entry in fleet.entries:
        harness.wait_for("a call by " + entry["name"],
                         lambda: serves(fleet, entry, 1))
    check(cluster, fleet, 2, restart)


harness.run_case(lambda cluster: body(cluster, restart_half))
harness.run_case(lambda cluster: body(cluster, restart_all))
