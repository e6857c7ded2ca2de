"""Connections between entry and target go silent for good, new ones work.

A caller's fee confirmation goes into a connection that carries nothing any
more, and no error ever comes. The entry finds it by missing progress, asks over
a new connection what became of the attempt, and tells the truth: refused if it
never started, unknown if it did. A connection that stood idle when it was
dropped costs the next caller nothing but a moment.
"""

import threading
import time

import harness

IN_FLIGHT = 8
AFTER = 6
# Far above what a probe costs, far below what waiting for silence costs.
SHORT_MS = 1500


def flights(cluster):
    """Calls of this round that have begun at the service."""
    return {key for key in harness.service_runs(*cluster.targets)
            if key.startswith("flight-")}


def call_while_silenced(cluster, relay, entry):
    """Calls are running at the service when the connection is dropped.

    One that runs then can't be answered any more. One that hasn't begun, on a
    busy machine, may go to the target over a new connection and complete.
    """
    told = {}
    begun = set()

    def silence():
        harness.wait_for("a call to run", lambda: flights(cluster))
        begun.update(flights(cluster))
        cluster.faults(relay, silent=True)

    silencer = threading.Thread(target=silence)
    silencer.start()
    replies = harness.in_parallel(
        IN_FLIGHT, lambda number: harness.confirm(entry, "flight-%d" % number))
    silencer.join()
    assert begun
    for number, reply in enumerate(replies):
        key = "flight-%d" % number
        told[key] = reply.outcome
        allowed = {"unknown"} if key in begun else {
            "unknown", "refused", "completed"}
        assert reply.outcome in allowed, (key, reply.outcome, begun)
    return told


def call_into_silence(cluster, relay, entry):
    """The connection was in use just now: the attempt is lost in it."""
    cluster.faults(relay, silent=True)
    reply = harness.confirm(entry, "lost-0")
    assert reply.outcome in ("refused", "completed"), reply.outcome
    if reply.outcome == "refused":
        assert reply.headers.get("retry-after"), reply.headers
        assert harness.service_runs(*cluster.targets).get("lost-0", 0) == 0
        reply = harness.confirm(entry, "lost-0")
    assert reply.outcome == "completed", reply.outcome
    return {"lost-0": reply.outcome}


def call_after_idleness(cluster, relay, entry):
    """The connection of the entry's other thread stood idle when dropped."""
    told = {}
    time.sleep(1)
    cluster.faults(relay, silent=True)
    time.sleep(3)
    for number in range(AFTER):
        key = "after-%d" % number
        reply = harness.confirm(entry, key, timeout_ms=SHORT_MS)
        assert reply.outcome == "completed", (key, reply.outcome, reply.body)
        told[key] = reply.outcome
    return told


def body(cluster):
    entry = cluster.add_entry("entry-0")
    target = cluster.add_target("ledger-0", "ledger", kind="service",
                                capacity=32)
    relay = cluster.add_relay(target)
    cluster.start_platform()
    cluster.start_host_list()
    cluster.start_hosts(work_ms=600)
    harness.declare_service(cluster)
    harness.wait_open(cluster, 1)
    for number in range(4):
        assert harness.confirm(entry, "warm-%d" % number).outcome == "completed"
    told = call_after_idleness(cluster, relay, entry)
    told.update(call_into_silence(cluster, relay, entry))
    told.update(call_while_silenced(cluster, relay, entry))
    # The target that lost attempts is left alone for a moment.
    harness.wait_for("the target to be used again", lambda: harness.confirm(
        entry, "at-last").outcome == "completed")
    harness.check_truth(told, harness.service_runs(target))
    print(told)


harness.run_case(body)
