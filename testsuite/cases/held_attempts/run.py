"""Links to replicas hold all bytes for a while and then deliver them.

Guards against calls that arrive at a replica after their entry has given the
attempt up: each is a retry that no limit counts, and work for nobody.
"""

import time

import fleet_callers
import harness
import platform_fleet

ENTRIES = 3
ENGINES = 6
HELD = 4
CALLERS = 12
PAUSE_S = 0.05
EVENTS = 4
HOLD_S = 6
AFTER_S = 2
# Bytes that were on their way when an attempt ended.
ON_THE_WAY_MS = 500


class RelayedFleet(platform_fleet.PlatformFleet):
    """Each replica is reached through a relay."""

    def __init__(self, cluster):
        super().__init__(cluster)
        self.relays = {}

    def listen_for(self, name, address):
        host, port = address.rsplit(":", 1)
        behind = "127.0.3.%s:%s" % (host.rsplit(".", 1)[1], port)
        command = "127.0.0.1:%d" % harness.free_ports(1)[0]
        self.cluster.start(name + "-relay", "standin_relay",
                           {"listen": command, "relay": address,
                            "forward": behind})
        self.cluster.wait_listening(command)
        self.relays[name] = command
        return behind

    def hold(self, replica, held):
        harness.call(self.relays[replica["name"]], "POST", "/faults",
                     {"held": held})


def body(cluster):
    fleet = RelayedFleet(cluster)
    fleet.start_platform()
    engines = [fleet.add_replica(event=10) for _ in range(ENGINES)]
    for _ in range(ENTRIES):
        fleet.add_entry()
    fleet.wait_ready()
    fleet.wait_version(1)
    callers = fleet_callers.FleetCallers(fleet, CALLERS, PAUSE_S, EVENTS,
                                         ("draft",))
    time.sleep(3)
    for engine in engines[:HELD]:
        fleet.hold(engine, True)
    time.sleep(HOLD_S)
    for engine in engines[:HELD]:
        fleet.hold(engine, False)
    time.sleep(AFTER_S)
    callers.stop()
    ended = {each.call: each.ended for each in callers.outcomes}
    late = [(call["at_ms"] - ended[call["call"]], call["call"])
            for engine in engines for call in fleet.call_log(engine)
            if call["at_ms"] > ended.get(call["call"], float("inf")) +
            ON_THE_WAY_MS]
    served = sum(each.status == 200 for each in callers.outcomes)
    print("%d of %d calls served; %d arrivals after the end of their call" % (
        served, len(callers.outcomes), len(late)))
    assert not late, "the latest %.0f ms after the end: %s" % max(late)


harness.run_case(body)
