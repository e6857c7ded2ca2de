"""A target stops in the middle of its work, and wakes later.

Callers' confirmations are on their way when the process is paused: connections
stay open, nothing answers, not even the question whether an attempt started.
The entry tells `unknown` then. When the process wakes it finds the late
attempts in its sockets: none may run whose caller was told that it was not run,
and none twice.
"""

import threading
import time

import harness

CALLS = 12
FREEZE_SECONDS = 6


def body(cluster):
    entry = cluster.add_entry("entry-0")
    target = cluster.add_target("ledger-0", "ledger", kind="service",
                                capacity=4)
    cluster.start_platform()
    cluster.start_host_list()
    cluster.start_hosts(work_ms=100)
    harness.declare_service(cluster)
    harness.wait_open(cluster, 1)
    told = {}

    def freeze():
        time.sleep(0.15)
        cluster.processes["ledger-0"].freeze()
        time.sleep(FREEZE_SECONDS)
        cluster.processes["ledger-0"].wake()

    def confirm(number):
        time.sleep(0.05 * number)
        key = "fee-%d" % number
        reply = harness.confirm(entry, key)
        told[key] = reply.outcome
        if reply.outcome == "refused":
            assert reply.headers.get("retry-after"), reply.headers

    freezer = threading.Thread(target=freeze)
    freezer.start()
    harness.in_parallel(CALLS, confirm)
    freezer.join()
    # What woke runs now: long enough for all that is left in its sockets.
    harness.wait_for("the target to be used again", lambda: harness.confirm(
        entry, "after-waking").outcome == "completed")
    time.sleep(1)
    runs = harness.service_runs(target)
    harness.check_truth(told, runs)
    assert "unknown" in told.values(), told
    # A repeated call learns the recorded outcome and never runs it again.
    for key, outcome in told.items():
        if outcome != "unknown":
            continue
        again = harness.confirm(entry, key)
        assert again.outcome == "unknown", (key, again.outcome)
    assert harness.service_runs(target) == runs
    print(told)


harness.run_case(body)
