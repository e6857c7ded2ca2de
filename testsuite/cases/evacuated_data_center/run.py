"""The operator evacuates a data centre while callers call its entries.

Guards against calls that still reach the replicas there later than the time
that the row allows, also from entries that have another one read the store for
them, against streams that are cut off or calls that are refused though the
other data centre has room, and against replicas that get no calls after the
row is removed. One route may use the evacuated region only: its calls are
refused at once, with the reason. Meanwhile the store comes back from a copy
without the row, which the operator writes again 1.5 s later: no calls may
return in between.
"""

import collections
import re
import statistics
import time

import fleet_callers
import harness
import platform_fleet
from fleet_callers import now_ms

REGIONS = ["a=east", "b=west"]
CALLERS = 8
PAUSE_S = 0.02
# Calls may arrive this long after the row is acknowledged; the platform allows
# ten times as long.
LAST_ARRIVAL_MS = 500
EVACUATED_S = 2
# The copy is older than the row.
DRILL = {"away_ms": 300, "age_ms": 2500, "again_ms": 1500}
AFTER_DRILL_S = 4
# Calls must have returned this long after the row is removed.
RETURNED_MS = 1000
# A call that no replica may get is refused without waiting for any of them.
REFUSED_WITHIN_MS = 100
EAST_CALLS = 10


class Fleet(platform_fleet.PlatformFleet):
    """A fleet whose route /east/ may use the region `east` only."""

    def next_configuration(self):
        config = super().next_configuration()
        config["routes"].append(
            {"name": "east", "prefix": "/east/", "host": "h",
             "service": "ledger", "route_kind": "safe", "max_attempts": 2,
             "timeout_ms": 20000, "slo_ms": 1000, "priority": 1,
             "regions_allowed": ["east"]})
        return config

    def call_east(self, entry, number):
        begun = now_ms()
        reply = harness.call(
            entry["callers"], "GET", "/east/%d" % number,
            headers=self.headers("east-%d" % number, platform_fleet.KEY))
        return reply, now_ms() - begun


def evacuated_gauge(entry):
    text = harness.call(entry["metrics"], "GET", "/metrics").body.decode()
    found = re.search(r"^verbenalead_data_centers_evacuated (\d+)", text,
                      re.MULTILINE)
    return int(found.group(1)) if found else 0


def check_arrivals(fleet, replicas, row_written, row_removed):
    kept = True
    for replica in replicas:
        times = fleet.arrivals(replica)
        late = [at - row_written for at in times
                if row_written <= at < row_removed]
        back = [at for at in times if at >= row_removed + RETURNED_MS]
        print("%s: %d calls before the row, %d while it is there, the last "
              "after %.0f ms; %d after it is removed" % (
                  replica["name"], sum(at < row_written for at in times),
                  len(late), max(late, default=0), len(back)))
        kept &= max(late, default=0) <= LAST_ARRIVAL_MS and bool(back)
    return kept


def check_answered(callers, begin, end):
    kept = True
    for kind in fleet_callers.KINDS:
        outcomes = callers.between(begin, end, kind)
        statuses = collections.Counter(each.status for each in outcomes)
        print("%s: %s" % (kind, dict(statuses)))
        kept &= statuses[200] == len(outcomes) > 0
    return kept


def check_east(fleet, status):
    """Calls of the route that may use the region `east` only."""
    kept = True
    took = []
    for number in range(EAST_CALLS):
        entry = fleet.entries[number % len(fleet.entries)]
        reply, ms = fleet.call_east(entry, number)
        took.append(ms)
        kept &= reply.status == status
        if status == 503:
            kept &= b"evacuation" in reply.body and \
                "retry-after" in reply.headers
    print("east: %s, median %.1f ms" % (kept, statistics.median(took)))
    return kept and (status == 200 or
                     statistics.median(took) < REFUSED_WITHIN_MS)


def body(cluster):
    fleet = Fleet(cluster)
    fleet.start_platform()
    replicas = {}
    for data_center in ("a", "b"):
        replicas[data_center] = [
            fleet.add_replica(event=5, data_center=data_center)
            for _ in range(2)]
        replicas[data_center].append(
            fleet.add_replica(service="ledger", model="", slots=100,
                              data_center=data_center))
    engines = [each for side in replicas.values() for each in side[:2]]
    for data_center in ("a", "a", "b", "b"):
        fleet.add_entry(data_center, regions=REGIONS)
    fleet.wait_ready()
    fleet.wait_version_on(engines, 1)
    callers = fleet_callers.FleetCallers(fleet, CALLERS, PAUSE_S)
    time.sleep(2)
    begin = now_ms()
    kept = [check_east(fleet, 200)]
    fleet.write("op", "evacuate/a", {})
    row_written = now_ms()
    time.sleep(1)
    kept.append(check_east(fleet, 503))
    gauges = [evacuated_gauge(entry) for entry in fleet.entries]
    time.sleep(EVACUATED_S - 1)
    fleet.drill(**DRILL)
    time.sleep(AFTER_DRILL_S)
    row_removed = now_ms()
    fleet.remove("op", "evacuate/a")
    time.sleep(3)
    end = now_ms()
    kept.append(check_east(fleet, 200))
    callers.stop()
    kept += [check_arrivals(fleet, replicas["a"], row_written, row_removed),
             check_answered(callers, begin, end)]
    print("gauges: %s" % gauges)
    assert all(kept) and gauges == [1] * len(fleet.entries), kept


harness.run_case(body)
