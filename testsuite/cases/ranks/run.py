"""Calls of two ranks ask for twice what the replicas can do.

Guards against urgent calls that are refused as often as others, though they ask
for only half of the capacity, and against a less urgent rank that starves.
"""

import harness
import open_callers
import platform_fleet

EVENTS = 40
EVENT_MS = 10
# As in the configuration of the fleet.
SLOTS = 8
REPLICAS = 2
ENTRIES = 4
# Calls a second that the replicas answer.
CAPACITY = REPLICAS * SLOTS * 1000 / (EVENTS * EVENT_MS)
PLAY_S = 8


class Fleet(platform_fleet.PlatformFleet):
    def next_configuration(self):
        config = super().next_configuration()
        for route in config["routes"]:
            route["priority"] = 2
        draft = config["routes"][0]
        config["routes"].append(
            dict(draft, name="urgent", prefix="/urgent/", priority=0))
        return config

    def send(self, kind, entry, number):
        return open_callers.stream(
            entry, "/%s/%d" % (kind, number),
            self.headers("%s-%d" % (kind, number), platform_fleet.KEY,
                         {"X-Verbenalead-Token-Usage": "100,%d" % EVENTS}))


def body(cluster):
    fleet = Fleet(cluster)
    fleet.start_platform()
    for _ in range(REPLICAS):
        fleet.add_replica(version=1, event=EVENT_MS, slots=SLOTS)
    for _ in range(ENTRIES):
        fleet.add_entry()
    fleet.wait_ready()
    callers = open_callers.OpenCallers(
        fleet, {"urgent": 0.5 * CAPACITY, "draft": 1.5 * CAPACITY}, fleet.send)
    callers.play(PLAY_S)
    urgent, other = callers.share("urgent"), callers.share("draft")
    mean = callers.share("urgent", "draft")
    print("urgent %.3f, others %.3f, all %.3f; first refused after %.0f ms" % (
        urgent, other, mean, sum(callers.refused_after) /
        max(1, len(callers.refused_after))))
    assert urgent >= 0.98, (urgent, other)
    assert other >= 0.5 * mean, (other, mean)


harness.run_case(body)
