"""An API key is removed while an entry is frozen.

The entry resumes after longer than the bound on removed keys. A call with the
removed key that is sent after the bound must not run, although the entry's
configuration still contains the key when it resumes. Calls with a key that was
kept are served again.
"""

import time

import harness
import platform_fleet

BOUND = 5.0


def body(cluster):
    fleet = platform_fleet.PlatformFleet(cluster)
    fleet.keys = ["stays", "goes"]
    fleet.start_platform()
    ledger = fleet.add_replica("ledger", "")
    entry = fleet.add_entry()
    fleet.wait_ready()
    harness.wait_for("a first payment", lambda: fleet.pay(
        entry, 0, "goes").status == 200)
    process = cluster.processes[entry["name"]]
    process.freeze()
    fleet.keys = ["stays"]
    fleet.configure()
    time.sleep(BOUND)
    runs = fleet.state(ledger)["runs"]
    process.wake()
    for number in range(1, 20):
        reply = fleet.pay(entry, number, "goes")
        assert reply.status in (401, 503), reply.status
    assert fleet.state(ledger)["runs"] == runs
    harness.wait_for("the key that stays", lambda: fleet.pay(
        entry, 30, "stays").status == 200)


harness.run_case(body)
