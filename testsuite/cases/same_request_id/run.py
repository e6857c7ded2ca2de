"""A caller reuses an X-Request-Id.

Callers choose these ids: a client library repeats the id in a retry, and two
callers may choose the same one. The first call was answered or refused. The
second is a separate call and must be answered. A target that took it for a
duplicate of the first message would never respond to it.
"""

import harness


def body(cluster):
    cluster.add_entry("entry-0")
    cluster.add_entry("entry-1")
    cluster.add_target("ledger-0", "ledger", kind="service", capacity=4)
    cluster.start_platform()
    cluster.start_host_list()
    cluster.start_hosts()
    harness.declare_service(cluster)
    harness.wait_open(cluster, 1)
    names = {"x-organisation": "acme", "x-request-id": "again-1"}
    for number in range(4):
        entry = cluster.entries[number % 2]
        reply = harness.call(entry["callers"], "GET",
                             "/services/fee-ledger/fees/1", None, names)
        assert reply.outcome == "completed", (number, reply.outcome,
                                              reply.body)
        assert reply.headers["x-request-id"] == "again-1", reply.headers
    trace = cluster.vlctl("trace", "again-1").stdout
    assert "attempts=2" not in trace, trace
    assert trace.count("event=outcome outcome=completed") == 4, trace


harness.run_case(body)
