"""The origin stops sending chunks while two versions are declared.

Guards against parts of both versions drawn from the origin, and against a chunk
drawn twice after its return: the older version is given up on all hosts, and
each chunk of the newer one leaves the origin once.
"""

import re
import time

import harness
import platform_fleet

REPLICAS = 6
CHUNKS = 12
# One chunk takes 164 ms of the declared link of the origin, and 100 ms of the
# real one.
LINK_MBPS = 0.2
CHUNK_MS = 100
AWAY_SECONDS = 2


class Fleet(platform_fleet.PlatformFleet):
    def next_configuration(self):
        config = super().next_configuration()
        config["services"][2]["link_mbps"] = LINK_MBPS
        return config

    def events(self, name, version=None):
        """Log lines `name` of all targets, with the target's name."""
        found = []
        for replica in self.replicas:
            with open(self.cluster.path(replica["target"] + ".log")) as log:
                for line in log:
                    if "event=" + name + " " not in line:
                        continue
                    if version and not re.search(
                            r"\bversion=%d\b" % version, line):
                        continue
                    found.append((replica["target"], line))
        return found


def body(cluster):
    fleet = Fleet(cluster)
    fleet.start_platform()
    cluster.faults(fleet.origin, chunk_ms=CHUNK_MS)
    for _ in range(REPLICAS):
        fleet.add_replica(
            version=1, target_settings={"weights": {"origin_outages": True}})
    fleet.add_entry()
    fleet.wait_ready()
    fleet.declare(2)
    harness.wait_for("some chunks of version 2",
                     lambda: len(fleet.events("chunk_drawn", 2)) >= 3)
    cluster.faults(fleet.origin, chunk_ms=CHUNK_MS, no_chunks=True)
    fleet.declare(3)
    time.sleep(AWAY_SECONDS)
    lost = {target for target, _ in fleet.events("origin_lost")}
    assert len(lost) == REPLICAS, lost
    cluster.faults(fleet.origin, chunk_ms=CHUNK_MS, no_chunks=False)
    fleet.wait_version(3)
    given_up = {target for target, _ in fleet.events("version_given_up", 2)}
    regained = {target for target, _ in fleet.events("origin_regained")}
    drawn = fleet.events("chunk_drawn", 3)
    assert len(given_up) == REPLICAS, given_up
    assert len(regained) == REPLICAS, regained
    assert len(drawn) == CHUNKS, drawn
    assert len(fleet.events("chunk_drawn", 2)) < CHUNKS


harness.run_case(body)
