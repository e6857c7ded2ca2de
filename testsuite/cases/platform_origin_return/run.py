"""The origin stops sending chunks while two versions are declared.

Guards against parts of both versions drawn from the origin, and against a chunk
drawn twice after its return: the older version is given up on all hosts, and
each chunk of the newer one leaves the origin once.
"""

import re

import harness
import platform_fleet

REPLICAS = 6
CHUNKS = 12
# One chunk takes 164 ms of the declared link of the origin, and 100 ms of the
# real one.
LINK_MBPS = 0.2
CHUNK_MS = 100
# Few enough that the older version lacks more than is worth finishing.
CHUNKS_BEFORE_OUTAGE = 4


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

    def targets_with(self, name, version=None):
        return {target for target, _ in self.events(name, version)}

    def targets_without_origin(self):
        """Targets whose latest line about the origin says that it is lost."""
        without = set()
        for replica in self.replicas:
            with open(self.cluster.path(replica["target"] + ".log")) as log:
                for line in log:
                    if "event=origin_lost " in line:
                        without.add(replica["target"])
                    elif "event=origin_regained " in line:
                        without.discard(replica["target"])
        return without


def body(cluster):
    fleet = Fleet(cluster)
    fleet.start_platform()
    cluster.faults(fleet.origin, chunk_ms=CHUNK_MS, no_chunks=True,
                   chunks=CHUNKS_BEFORE_OUTAGE)
    for _ in range(REPLICAS):
        fleet.add_replica(
            version=1, target_settings={"weights": {"origin_outages": True}})
    fleet.add_entry()
    fleet.wait_ready()
    fleet.declare(2)
    harness.wait_for("a chunk of version 2",
                     lambda: fleet.events("chunk_drawn", 2))
    fleet.declare(3)
    harness.wait_for(
        "all hosts know that the origin is unavailable",
        lambda: len(fleet.targets_without_origin()) == REPLICAS)
    cluster.faults(fleet.origin, chunk_ms=CHUNK_MS, no_chunks=False)
    fleet.wait_version(3)
    given_up = fleet.targets_with("version_given_up", 2)
    drawn = fleet.events("chunk_drawn", 3)
    assert len(given_up) == REPLICAS, given_up
    assert not fleet.targets_without_origin()
    assert len(drawn) == CHUNKS, drawn
    older = fleet.events("chunk_drawn", 2)
    assert len(older) <= CHUNKS_BEFORE_OUTAGE, older


harness.run_case(body)
