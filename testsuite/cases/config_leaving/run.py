"""A leaving target gets no new call after 2 s, however its leaving is reported.

First only the target itself reports it (it was drained), then only the host
list does. Callers continue through all entries. After 2 s the target's journal
must show no new attempt, and no call is lost.
"""

import time

import fleet
import harness

ENTRIES = 8
TARGETS = 24


def call_all(cluster, seen):
    for entry in cluster.entries:
        for _ in range(6):
            reply = harness.call(entry["callers"], "GET",
                                 "/services/fee-ledger/fees/1", None,
                                 {"x-organisation": "acme"})
            assert reply.status == 200, reply.body
            seen.append(reply.headers["x-target"])


def check(cluster, leave):
    before = []
    call_all(cluster, before)
    name = before[-1]
    leave(name)
    time.sleep(2)
    seen = []
    for _ in range(4):
        call_all(cluster, seen)
    assert name not in seen, "%s still got work" % name


def body(cluster):
    fleet.start(cluster, ENTRIES, TARGETS)
    fleet.declare(cluster)
    fleet.Watchers(cluster).in_force_everywhere(3, TARGETS)
    check(cluster, lambda name: cluster.vlctl("drain", name))
    check(cluster, lambda name: cluster.set_host_state(name, "leaving"))


if __name__ == "__main__":
    harness.run_case(body)
