"""Replicas of one service that differ in speed share its calls by speed.

Guards against a slow replica that gets as many calls as the others: a model
replica states in its report that it is slow, and a plain one only answers
slowly.
"""

import time

import fleet_callers
import harness
import platform_fleet

CALLERS = 10
PAUSE_S = 0.01
EVENTS = 20
# How many times slower the slow replicas are.
SLOW = 4
EVENT_MS = 5
WORK_MS = 20
# Entries learn the speed of plain replicas from their first answers.
SETTLE_S = 3
PLAY_S = 6
# Share of the calls of a slow replica by its speed, and how far it may lie
# above it.
SHARE = 1 / (1 + SLOW)
TOLERANCE = 0.1


def body(cluster):
    fleet = platform_fleet.PlatformFleet(cluster)
    fleet.common_settings = {"placement": {"by_speed": True}}
    fleet.start_platform()
    replicas = {
        "engine": (fleet.add_replica(version=1, event=EVENT_MS),
                   fleet.add_replica(version=1, event=SLOW * EVENT_MS,
                                     pace=100 * SLOW)),
        "plain": (fleet.add_replica("ledger", "", work=WORK_MS),
                  fleet.add_replica("ledger", "", work=SLOW * WORK_MS))}
    for _ in range(2):
        fleet.add_entry()
    fleet.wait_ready()
    callers = fleet_callers.FleetCallers(fleet, CALLERS, PAUSE_S, EVENTS)
    time.sleep(SETTLE_S)
    begin = fleet_callers.now_ms()
    time.sleep(PLAY_S)
    end = fleet_callers.now_ms()
    callers.stop()
    for kind, pair in replicas.items():
        fast, slow = (sum(begin <= at < end for at in fleet.arrivals(replica))
                      for replica in pair)
        share = slow / (fast + slow)
        print("%s: %d calls at the fast one, %d at the slow one, share %.2f" % (
            kind, fast, slow, share))
        assert share <= SHARE + TOLERANCE, (kind, share)
    failed = [each for each in callers.between(begin, end)
              if each.status not in (200, 429, 503)]
    assert not failed, failed[:5]


harness.run_case(body)
