"""Replicas name the rate of requests that they take from all entries together.

Guards against entries that send such a replica more than that, against a limit
that is kept by each entry alone, against a replica that is left unused because
it has a limit, and against a limit that is kept after its end.
"""

import time

import fleet_callers
import harness
import platform_fleet
import rate_judge
from fleet_callers import now_ms

ENTRIES = 3
CALLERS = 6
# Seconds for which the limits are named, without the time to settle.
LIMITED_S = 12
# Pause of a caller between two calls, in seconds.
PAUSE_S = 0.1
# Calls of a kind that may end without an answer: none has to, as the other
# replica has room for all. At the start of a limit some are on their way.
LOST = 3
LIMITS = {"engine": "1", "plain": "2.3"}


def check_limited(fleet, name, replica, begin, end):
    limit = float(LIMITS[name])
    times = fleet.arrivals(replica)
    worst = rate_judge.worst_window(times, begin, end)
    used = rate_judge.rate(times, begin, end) / limit
    print("%s, limit %s: at most %d in 4 s, allowed %.1f; %.2f of the limit "
          "used" % (name, LIMITS[name], worst, rate_judge.allowed(limit), used))
    assert worst <= rate_judge.allowed(limit), (name, worst)
    assert used > 0.5, (name, used)


def body(cluster):
    fleet = platform_fleet.PlatformFleet(cluster)
    fleet.start_platform()
    replicas = {"engine": fleet.add_replica(),
                "other engine": fleet.add_replica(),
                "plain": fleet.add_replica(service="ledger", model="",
                                           slots=100),
                "other plain": fleet.add_replica(service="ledger", model="",
                                                 slots=100)}
    for _ in range(ENTRIES):
        fleet.add_entry()
    fleet.wait_ready()
    for name in ("engine", "other engine"):
        harness.wait_for("version 1 on the " + name, lambda: fleet.state(
            replicas[name])["version"] == 1)
    callers = fleet_callers.FleetCallers(fleet, CALLERS, PAUSE_S)
    time.sleep(2)
    for name, text in LIMITS.items():
        fleet.name_limit(replicas[name], text)
    begin = now_ms() + rate_judge.SETTLE_MS
    time.sleep(rate_judge.SETTLE_MS / 1000 + LIMITED_S)
    end = now_ms()
    for name in LIMITS:
        fleet.name_limit(replicas[name], "")
    time.sleep(rate_judge.SETTLE_MS / 1000)
    free = now_ms()
    time.sleep(3)
    callers.stop()
    for name in LIMITS:
        check_limited(fleet, name, replicas[name], begin, end)
    for name, limit in LIMITS.items():
        rate = rate_judge.rate(fleet.arrivals(replicas[name]), free, now_ms())
        print("%s after the limit: %.1f a second" % (name, rate))
        assert rate > 1.5 * float(limit), (name, rate)
    for kind in fleet_callers.KINDS:
        statuses = [each.status for each in callers.outcomes
                    if each.kind == kind]
        lost = sum(status != 200 for status in statuses)
        print("%s: %d calls, %d not answered" % (kind, len(statuses), lost))
        assert lost <= LOST, (kind, lost)


harness.run_case(body)
