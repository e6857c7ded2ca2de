"""A caller sends its request again under the same X-Request-Id.

Ids are the callers' own: a client library repeats them when it retries, and two
callers may pick the same one. The first answer has been given, or the first
call was refused; the second call is a call of its own and must be answered like
any other. A target that took it for a doubled message would leave it unanswered.
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
