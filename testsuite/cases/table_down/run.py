"""The platform's table is down for a while.

No entry can claim an idempotency key then. A confirmation is refused at once as
not run, with a Retry-After header; drafts continue. Once the table is back the
same call runs, once.
"""

import harness


def body(cluster):
    entry = cluster.add_entry("entry-0")
    ledger = cluster.add_target("ledger-0", "ledger", kind="service")
    cluster.start_platform()
    cluster.start_host_list()
    cluster.start_hosts()
    harness.declare_service(cluster)
    harness.wait_open(cluster, 1)
    cluster.faults(cluster.table, down=True)
    for number in range(3):
        reply = harness.confirm(entry, "fee-%d" % number)
        assert reply.outcome == "refused", (reply.outcome, reply.body)
        assert int(reply.headers["retry-after"]) >= 1, reply.headers
        draft = harness.call(entry["callers"], "GET",
                             "/services/fee-ledger/fees/7", None,
                             {"x-organisation": "acme"})
        assert draft.outcome == "completed", draft.outcome
    assert harness.service_runs(ledger) == {}
    cluster.faults(cluster.table)
    for number in range(3):
        harness.wait_for("the table's return", lambda: harness.confirm(
            entry, "fee-%d" % number).outcome == "completed")
    assert harness.service_runs(ledger) == {"fee-%d" % number: 1
                                            for number in range(3)}


harness.run_case(body)
