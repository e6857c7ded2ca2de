"""Replicas that are cold take few calls a second from all entries together.

Guards against entries that send cold replicas more than that, by which they
crash; against an allowance that is kept by each entry alone, or left unused;
and against replicas that get few calls once they are warm.
"""

import bisect
import time

import fleet_callers
import harness
import platform_fleet
import rate_judge
from fleet_callers import now_ms

ENTRIES = 3
CALLERS = 12
# Pause of a caller between two calls, in seconds.
PAUSE_S = 0.05
# What the configuration and the settings say of cold replicas.
COLD_PER_S = 6
OVERRUN = 1.5
SLACK = 5
ALLOWED = int(COLD_PER_S * OVERRUN + SLACK)
COLD_MS = 12000
# Time in which all entries have read the rows. The replicas take all calls
# until it has passed.
SETTLE_MS = 3000


def worst_second(times, begin, end):
    times = sorted(at for at in times if begin <= at < end)
    return max((bisect.bisect_left(times, at + 1000) - index
                for index, at in enumerate(times)), default=0)


def body(cluster):
    fleet = platform_fleet.PlatformFleet(cluster)
    fleet.service_fields = {"cold_start_s": COLD_MS / 1000,
                            "cold_per_s": COLD_PER_S}
    fleet.common_settings = {"cold": {"overrun": OVERRUN, "slack": SLACK}}
    fleet.start_platform()
    # They start cold, and crash above the allowance.
    cold = {"cold": COLD_MS, "cold_calls": ALLOWED}
    first_started = now_ms()
    replicas = {"engine": fleet.add_replica(version=1, **cold),
                "other engine": fleet.add_replica(version=1, **cold),
                "plain": fleet.add_replica(service="ledger", model="",
                                           slots=100, **cold),
                "other plain": fleet.add_replica(service="ledger", model="",
                                                 slots=100, **cold)}
    last_started = now_ms()
    for _ in range(ENTRIES):
        fleet.add_entry()
    fleet.wait_ready()
    begin = now_ms()
    callers = fleet_callers.FleetCallers(fleet, CALLERS, PAUSE_S)
    # A new holder of a token bucket waits before it grants the first token.
    settled = begin + SETTLE_MS
    # Until then all of them are cold.
    end = first_started + COLD_MS
    assert end > settled + 3000, "the start took too long"
    time.sleep((last_started + COLD_MS + SETTLE_MS - now_ms()) / 1000)
    warm = now_ms()
    time.sleep(3)
    callers.stop()
    for name, replica in replicas.items():
        times = fleet.arrivals(replica)
        worst = worst_second(times, begin, end)
        used = rate_judge.rate(times, settled, end) / COLD_PER_S
        rate = rate_judge.rate(times, warm, now_ms())
        print("%s: at most %d in a second, allowed %d; %.2f of the rate used; "
              "%.1f a second when warm" % (name, worst, ALLOWED, used, rate))
        assert worst <= ALLOWED, (name, worst)
        assert used > 0.6, (name, used)
        assert rate > 1.5 * COLD_PER_S, (name, rate)
    for kind in fleet_callers.KINDS:
        outcomes = callers.between(begin, warm, kind)
        unanswered = [each.status for each in outcomes
                      if each.status not in (200, 429, 503)]
        print("%s: %d calls, %d neither answered nor refused" % (
            kind, len(outcomes), len(unanswered)))
        assert not unanswered, (kind, unanswered)


harness.run_case(body)
