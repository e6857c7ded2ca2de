"""All entries are killed in series while replicas cut off most calls.

Guards against a limit on retries that lasts as long as the process that counts:
each new process may retry as if its predecessor had not, and the retries of
both arrive within one window.
"""

import time

import fleet_callers
import harness
import platform_fleet
import retry_judge

ENTRIES = 6
ENGINES = 8
CALLERS = 8
PAUSE_S = 0.04
WINDOW_MS = 10000
RATIO = 0.05
# Split by the entries; larger than what the ratio allows here.
SLACK = 240
CALM_S = 11
CUT_PERCENT = 60
KILLS = 3
BETWEEN_KILLS_S = 2


def kill_in_series(cluster, fleet):
    time.sleep(BETWEEN_KILLS_S)
    for _ in range(KILLS):
        for entry in fleet.entries:
            cluster.processes[entry["name"]].kill()
        for entry in fleet.entries:
            cluster.restart(entry["name"])
        fleet.wait_ready()
        time.sleep(BETWEEN_KILLS_S)


def body(cluster):
    fleet = platform_fleet.PlatformFleet(cluster)
    fleet.start_platform()
    engines = [fleet.add_replica(slots=16, event=5) for _ in range(ENGINES)]
    for _ in range(ENTRIES):
        fleet.add_entry(repeats={"ratio": RATIO, "slack": SLACK,
                                 "window": WINDOW_MS / 1000})
    fleet.wait_ready()
    fleet.wait_version(1)
    callers = fleet_callers.FleetCallers(fleet, CALLERS, PAUSE_S,
                                         kinds=("draft",))
    time.sleep(CALM_S)
    for engine in engines:
        fleet.cut_calls(engine, CUT_PERCENT)
    kill_in_series(cluster, fleet)
    callers.stop()
    sent = sorted(each.sent for each in callers.outcomes)
    retries = retry_judge.retry_times(fleet.call_log(engine)
                                      for engine in engines)
    most, limit, begin = retry_judge.worst_window(retries, sent, WINDOW_MS,
                                                  RATIO, SLACK)
    print("%d calls, %d retries, at most %d in a window, allowed %.1f there" %
          (len(sent), len(retries), most, limit))
    assert retries, "no call was retried"
    assert most <= limit, "the limit on retries was exceeded"


harness.run_case(body)
