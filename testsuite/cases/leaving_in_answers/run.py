"""Replicas state in their answers alone that they are leaving.

Guards against entries that go on sending calls to such a replica: its row in
the store stays "ready", and the store is away for a part of the time, so the
answers are the only news. Guards as well against calls that are refused though
the other replicas have room, and against a new process of the replica that is
taken for the leaving one.
"""

import collections
import time

import fleet_callers
import harness
import platform_fleet
import statement_judge
from fleet_callers import now_ms

ENTRIES = 3
CALLERS = 8
PAUSE_S = 0.02
LEAVING_S = 6
# Keys stay valid for 4.5 s after the last word of the store, which may be 1.2 s
# old when the store goes and comes 0.5 s after its return.
STORE_AWAY_S = 2
# Calls of a kind that may end without an answer: none has to, as the other
# replicas have room for all.
LOST = 0


def check_leaving(fleet, callers, name, replica, begin):
    log = fleet.call_log(replica)
    entry_of = callers.entry_of()
    late = statement_judge.sent_to_leaving(log, entry_of)
    by_any = sum(call["at_ms"] > begin + statement_judge.LEAVING_MS
                 for call in log)
    print("%s: %d calls from an entry that was told 2 s before, %d from any "
          "entry 2 s after the first answer that said so" % (
              name, len(late), by_any))
    return not late and not by_any


def check_answered(callers, begin, end):
    lost = 0
    for kind in fleet_callers.KINDS:
        outcomes = callers.between(begin, end, kind)
        bad = [each for each in outcomes if each.status != 200]
        print("%s: %d calls, %d not answered %s" % (
            kind, len(outcomes), len(bad),
            collections.Counter(each.status for each in bad)))
        lost += max(0, len(bad) - LOST)
    return lost == 0


def body(cluster):
    fleet = platform_fleet.PlatformFleet(cluster)
    fleet.start_platform()
    engines = [fleet.add_replica(event=5) for _ in range(3)]
    plain = [fleet.add_replica(service="ledger", model="", slots=100)
             for _ in range(3)]
    for _ in range(ENTRIES):
        fleet.add_entry()
    fleet.wait_ready()
    fleet.wait_version_on(engines, 1)
    callers = fleet_callers.FleetCallers(fleet, CALLERS, PAUSE_S)
    time.sleep(2)
    begin = now_ms()
    leaving = {"engine": engines[0], "plain": plain[0]}
    for replica in leaving.values():
        fleet.say_leaving(replica)
    cluster.faults(fleet.store, down=True)
    time.sleep(STORE_AWAY_S)
    cluster.faults(fleet.store)
    time.sleep(LEAVING_S - STORE_AWAY_S)
    end = now_ms()
    kept = [check_leaving(fleet, callers, name, replica, begin)
            for name, replica in leaving.items()]
    kept.append(check_answered(callers, begin, end))
    # A new process of the same replica.
    for replica in leaving.values():
        cluster.processes[replica["name"]].kill()
        cluster.restart(replica["name"])
        harness.wait_for(replica["name"] + " to answer",
                         lambda: fleet.answers_at_all(replica))
    for name, replica in leaving.items():
        harness.wait_for("calls at the new process of the " + name,
                         lambda: fleet.call_log(replica))
    callers.stop()
    assert all(kept)


harness.run_case(body)
