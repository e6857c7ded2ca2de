"""One organisation asks for one and a half times what the replicas can do, and
eight small ones for a sixteenth each.

Guards against small organisations that are refused for the excess of a large
one.
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
SMALL = ["small-%d" % number for number in range(8)]
PLAY_S = 8


class Fleet(platform_fleet.PlatformFleet):
    def next_configuration(self):
        config = super().next_configuration()
        config["tenants"] += [{"name": name, "api_keys": ["key-of-" + name]}
                              for name in ["large"] + SMALL]
        return config

    def send(self, kind, entry, number):
        return open_callers.stream(
            entry, "/draft/%d" % number,
            self.headers("%s-%d" % (kind, number), "key-of-" + kind,
                         {"X-Verbenalead-Token-Usage": "100,%d" % EVENTS}))


def body(cluster):
    fleet = Fleet(cluster)
    fleet.start_platform()
    for _ in range(REPLICAS):
        fleet.add_replica(version=1, event=EVENT_MS, slots=SLOTS)
    for _ in range(ENTRIES):
        fleet.add_entry(shares={"organisations": True})
    fleet.wait_ready()
    rates = dict.fromkeys(SMALL, CAPACITY / 16)
    rates["large"] = 1.5 * CAPACITY
    callers = open_callers.OpenCallers(fleet, rates, fleet.send)
    callers.play(PLAY_S)
    small, large = callers.share(*SMALL), callers.share("large")
    mean = callers.share("large", *SMALL)
    print("small ones %.3f, large one %.3f, all %.3f; first refused after "
          "%.0f ms" % (small, large, mean, sum(callers.refused_after) /
                       max(1, len(callers.refused_after))))
    assert small >= 0.95, (small, large)
    assert large >= 0.5 * mean, (large, mean)


harness.run_case(body)
