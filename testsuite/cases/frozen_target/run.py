"""A target process is frozen while calls are under way, and resumes later.

Connections stay open but nothing responds, not even the query whether an
attempt started, so that the entry reports `unknown`. When the process resumes,
it reads the late attempts from its sockets. It must run none whose caller was
told that it was not run, and none twice.
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
    reported = {}

    def freeze():
        time.sleep(0.15)
        cluster.processes["ledger-0"].freeze()
        time.sleep(FREEZE_SECONDS)
        cluster.processes["ledger-0"].wake()

    def confirm(number):
        time.sleep(0.05 * number)
        key = "fee-%d" % number
        reply = harness.confirm(entry, key)
        reported[key] = reply.outcome
        if reply.outcome == "refused":
            assert reply.headers.get("retry-after"), reply.headers

    freezer = threading.Thread(target=freeze)
    freezer.start()
    harness.in_parallel(CALLS, confirm)
    freezer.join()
    # The target runs again. Then wait until it has read all requests that are
    # left in its sockets.
    harness.wait_for("the target to be used again", lambda: harness.confirm(
        entry, "after-waking").outcome == "completed")
    time.sleep(1)
    runs = harness.service_runs(target)
    harness.check_truth(reported, runs)
    assert "unknown" in reported.values(), reported
    # A repeated call gets the recorded outcome and does not run again.
    for key, outcome in reported.items():
        if outcome != "unknown":
            continue
        again = harness.confirm(entry, key)
        assert again.outcome == "unknown", (key, again.outcome)
    assert harness.service_runs(target) == runs
    print(reported)


harness.run_case(body)
