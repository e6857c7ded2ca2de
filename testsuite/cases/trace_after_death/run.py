"""Traces a request whose entry has died.

The request is answered; its entry is killed a few seconds later and loses its
memory. Another entry must report the outcome within 200 ms, from the segment
that the killed entry had written to the object store.
"""

import time

import fleet
import harness

ENTRIES = 8
TARGETS = 24
BOUND = 0.2


def body(cluster):
    fleet.start(cluster, ENTRIES, TARGETS)
    fleet.declare(cluster)
    fleet.Watchers(cluster).in_force_everywhere(3, TARGETS)
    reply = harness.call(cluster.entries[0]["callers"], "GET",
                         "/services/fee-ledger/fees/1", None,
                         {"x-organisation": "acme", "x-request-id": "lost-1"})
    assert reply.status == 200, reply.body
    time.sleep(2.5)
    cluster.processes["entry-0"].kill()
    begin = time.monotonic()
    trace = harness.call(cluster.entries[1]["operators"], "GET",
                         "/v1/trace/lost-1")
    took = time.monotonic() - begin
    print("traced after the entry's death in %.0f ms" % (1000 * took))
    assert trace.status == 200, trace.body
    assert b"event=outcome outcome=completed" in trace.body, trace.body
    assert took < BOUND, took


if __name__ == "__main__":
    harness.run_case(body)
