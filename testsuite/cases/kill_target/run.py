"""Targets are killed and restarted under load.

Confirmations run at most once, and their reported outcomes are true, whether
the target is killed before the attempt arrives, while it runs, or after its
response was lost. Drafts, which may be retried, are all completed by the other
targets. A restarted target refuses attempts that were meant for the process
before it.
"""

import threading
import time

import harness

ROUNDS = 3
CALLS = 15


def body(cluster):
    entry = cluster.add_entry("entry-0")
    for number in range(3):
        cluster.add_target("ledger-%d" % number, "ledger", kind="service",
                           capacity=16)
    cluster.start_platform()
    cluster.start_host_list()
    cluster.start_hosts(work_ms=100)
    harness.declare_service(cluster)
    harness.wait_open(cluster, 3)
    reported = {}
    drafts = []

    def kill_some():
        for number in range(ROUNDS):
            time.sleep(0.3)
            name = "ledger-%d" % (number % 2)
            cluster.processes[name].kill()
            time.sleep(0.2)
            cluster.restart(name)
            time.sleep(0.5)

    def call(number):
        for step in range(CALLS):
            key = "fee-%d-%d" % (number, step)
            reported[key] = harness.confirm(entry, key).outcome
            drafts.append(harness.call(
                entry["callers"], "GET", "/services/fee-ledger/fees/7", None,
                {"x-organisation": "acme"}).outcome)

    killer = threading.Thread(target=kill_some)
    killer.start()
    harness.in_parallel(12, call)
    killer.join()
    harness.check_truth(reported, harness.service_runs(*cluster.targets))
    assert set(drafts) == {"completed"}, {each: drafts.count(each)
                                          for each in set(drafts)}
    outcomes = list(reported.values())
    assert outcomes.count("completed") > len(outcomes) // 2
    print({each: outcomes.count(each) for each in sorted(set(outcomes))})


harness.run_case(body)
