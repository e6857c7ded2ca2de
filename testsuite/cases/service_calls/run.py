"""Calls of a plain service pass through unchanged.

Method, query, headers and body reach the service; its status, headers and body
are returned. A 4xx or 5xx of the service is its response, so the outcome is
`completed`. Internal header fields reach neither the service nor the caller. A
caller who repeats a non-idempotent call because of such a status, under its key,
gets the same response, and the call runs once.
"""

import harness


def body(cluster):
    entry = cluster.add_entry("entry-0")
    target = cluster.add_target("ledger-0", "ledger", kind="service")
    cluster.start_platform()
    cluster.start_host_list()
    cluster.start_hosts()
    harness.declare_service(cluster)
    harness.wait_open(cluster, 1)
    headers = {"x-organisation": "acme", "x-note": "Montréal".encode(),
               "x-incarnation": "7", "x-target": "forged"}
    for method in ("GET", "PUT", "PATCH", "DELETE", "POST"):
        sent = None if method == "GET" else "body of " + method
        reply = harness.call(entry["callers"], method,
                             "/services/fee-ledger/fees/7?full=1&a=b%20c",
                             sent, headers)
        seen = reply.json()
        assert reply.status == 200 and reply.outcome == "completed", reply.body
        assert seen["method"] == method, seen
        assert seen["path"] == "/fees/7?full=1&a=b%20c", seen
        assert seen["body"] == (sent or ""), seen
        assert seen["note"] == "Montréal", seen
        assert reply.headers["x-ledger"] == "fees", reply.headers
        assert reply.headers["x-target"] == "ledger-0", reply.headers
    for status in (404, 409, 500, 503):
        reply = harness.call(entry["callers"], "GET",
                             "/services/fee-ledger/x?status=%d" % status, None,
                             headers)
        assert reply.status == status, reply.status
        assert reply.outcome == "completed", reply.outcome
        assert reply.headers["x-attempts"] == "1", reply.headers
    for status in (408, 421, 429, 503):
        key = "fee-%d" % status
        replies = [harness.call(
            entry["callers"], "POST",
            "/services/fee-ledger/confirm?status=%d" % status, "{}",
            dict(headers, **{"x-idempotent": "false",
                             "idempotency-key": key})) for _ in range(2)]
        assert [reply.status for reply in replies] == [status] * 2, replies
        assert [reply.outcome for reply in replies] == ["completed"] * 2
        assert replies[0].body == replies[1].body, replies[1].body
        runs = harness.service_runs(target)
        assert runs[key] == 1, runs
    reply = harness.call(entry["callers"], "HEAD", "/services/fee-ledger/x",
                         None, headers)
    assert reply.status == 200 and reply.outcome == "completed"


harness.run_case(body)
