"""The origin sends corrupt chunks of a new version, and the store drops its
history of changes.

No engine loads a corrupt chunk: each is fetched again. Entries and targets that
can't continue from the dropped history read the tables whole and miss nothing.
"""

import harness
import platform_fleet


def body(cluster):
    fleet = platform_fleet.PlatformFleet(cluster)
    fleet.start_platform()
    for _ in range(3):
        fleet.add_replica()
    entry = fleet.add_entry()
    fleet.wait_ready()
    fleet.wait_version(1)
    cluster.faults(fleet.origin, spoil=8)
    cluster.faults(fleet.store, forget=1)
    fleet.declare(2)
    fleet.wait_version(2)
    for replica in fleet.replicas:
        assert fleet.state(replica)["bad_loads"] == 0
    harness.wait_for("a stream", lambda: fleet.draft(entry, 1).status == 200)


harness.run_case(body)
