"""Connections between entry and target go silent for good; new ones work.

A confirmation is sent on a connection that carries no more data and reports no
error. The entry detects this by missing progress, queries the state of the
attempt on a new connection, and reports the truth: refused if the attempt never
started, unknown if it did. A connection that was idle when it went silent
delays the next caller only briefly.
"""

import threading
import time

import harness

IN_FLIGHT = 8
AFTER = 6
# Deadline in ms: far above the duration of a probe, and far below the time-out
# of a silent connection.
SHORT_MS = 1500


def flights(cluster):
    """Keys of the calls of this round that have started at the service."""
    return {key for key in harness.service_runs(*cluster.targets)
            if key.startswith("flight-")}


def call_while_silenced(cluster, relay, entry):
    """The connection goes silent while calls run at the service.

    The response of a call that runs at that moment is lost. A call that has not
    started by then, on a busy machine, may reach the target over a new
    connection and complete.
    """
    reported = {}
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
        reported[key] = reply.outcome
        allowed = {"unknown"} if key in begun else {
            "unknown", "refused", "completed"}
        assert reply.outcome in allowed, (key, reply.outcome, begun)
    return reported


def call_into_silence(cluster, relay, entry):
    """The connection was used recently, so that the attempt is lost on it."""
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
    """The connection of the entry's other thread was idle when silenced."""
    reported = {}
    time.sleep(1)
    cluster.faults(relay, silent=True)
    time.sleep(3)
    for number in range(AFTER):
        key = "after-%d" % number
        reply = harness.confirm(entry, key, timeout_ms=SHORT_MS)
        assert reply.outcome == "completed", (key, reply.outcome, reply.body)
        reported[key] = reply.outcome
    return reported


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
    reported = call_after_idleness(cluster, relay, entry)
    reported.update(call_into_silence(cluster, relay, entry))
    reported.update(call_while_silenced(cluster, relay, entry))
    # The entry avoids a target that lost attempts for a short time.
    harness.wait_for("the target to be used again", lambda: harness.confirm(
        entry, "at-last").outcome == "completed")
    harness.check_truth(reported, harness.service_runs(target))
    print(reported)


harness.run_case(body)
