"""End-to-end test on the users' platform.

Two entries, three replicas of a model and a plain service. A replica that
starts without weights gets them. A new version reaches all replicas while
streams are under way, and no caller gets a truncated or mixed response.
"""

import harness
import platform_fleet


def body(cluster):
    fleet = platform_fleet.PlatformFleet(cluster)
    fleet.start_platform()
    fleet.add_replica()
    fleet.add_replica()
    ledger = fleet.add_replica("ledger", "")
    fleet.add_entry()
    fleet.add_entry()
    fleet.wait_ready()
    fleet.replicas.remove(ledger)
    fleet.wait_version(1)
    late = fleet.add_replica()
    fleet.wait_version(1)
    entry = fleet.entries[0]
    harness.wait_for("a first stream", lambda: fleet.draft(
        entry, 0).status == 200)
    addresses = harness.call(
        entry["directory"], "GET", "/resolve?name=h&zone=a").json()
    assert sorted(addresses["addresses"]) == sorted(
        each["callers"] for each in fleet.entries), addresses
    fleet.declare(2)
    for number in range(1, 60):
        reply = fleet.draft(fleet.entries[number % 2], number, 8)
        if reply.status == 200:
            assert reply.body == platform_fleet.events(8), reply.body
        else:
            assert reply.status == 503, reply.status
            assert "retry-after" in reply.headers
    fleet.wait_version(2)
    for replica in fleet.replicas:
        assert fleet.state(replica)["bad_loads"] == 0
    assert late in fleet.replicas
    paid = fleet.pay(entry, 1)
    assert (paid.status, paid.body) == (200, b"ran: /pay/1"), paid.body
    assert fleet.state(ledger)["runs"] == 1


harness.run_case(body)
