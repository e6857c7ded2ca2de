"""The platform's store is down for longer than the lease on keys.

Calls are served as long as the lease is valid. After that they are refused as
not run, with a Retry-After header: the entry can't know whether a key was
removed, and does not report it as invalid either. Once the store is back, calls
are served again.
"""

import harness
import platform_fleet


def body(cluster):
    fleet = platform_fleet.PlatformFleet(cluster)
    fleet.start_platform()
    ledger = fleet.add_replica("ledger", "")
    entry = fleet.add_entry()
    fleet.wait_ready()
    harness.wait_for("a first payment", lambda: fleet.pay(
        entry, 0).status == 200)
    cluster.faults(fleet.store, down=True)
    assert fleet.pay(entry, 1).status == 200
    harness.wait_for("the end of the lease",
                     lambda: not fleet.ready(entry))
    runs = fleet.state(ledger)["runs"]
    for key in (platform_fleet.KEY, "unknown"):
        reply = fleet.pay(entry, 2, key)
        assert reply.status == 503, reply.status
        assert "retry-after" in reply.headers
    assert fleet.state(ledger)["runs"] == runs
    cluster.faults(fleet.store)
    harness.wait_for("the store's return", lambda: fleet.pay(
        entry, 3).status == 200)


harness.run_case(body)
