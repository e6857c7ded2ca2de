"""Replicas turn calls away and ask the entry that sent them for a rest.

Guards against entries that go on sending calls to such a replica, against calls
that are refused though other replicas have room, against a call that makes many
arrivals, and, when all replicas rest, against calls that wait in vain or are
told to come back in the same instant. Once the rests end, the replicas must
not get all calls at the same moment.
"""

import collections
import statistics
import time

import fleet_callers
import harness
import platform_fleet
import statement_judge
from fleet_callers import now_ms

ENTRIES = 3
CALLERS = 12
PAUSE_S = 0.02
SLOTS = 8
REST = "3"
ONE_RESTS_S = 7
# Each entry learns of each rest by a call that is turned away and sent on.
ARRIVALS_PER_CALL = 1.1
# A call that no replica wants is refused without waiting for any of them.
REFUSED_WITHIN_MS = 100
# A call whose wait may reach the end of a rest may be served after that.
LONGEST_WAIT_MS = 1000
# Rounding of the time to come back.
CLOCK_MS = 50
# Callers that are refused within a second or two come back over this time.
SPREAD_MS = 500
# Times after a rest at which an entry has sent no more than its share of a
# replica's slots, as it returns to all of them within a second.
RETURN_MS = (100, 250, 500)


def check_rests(fleet, callers, replicas):
    worst = [statement_judge.worst_rest(fleet.call_log(replica),
                                        callers.entry_of())
             for replica in replicas]
    print("most calls from one entry in a rest:", worst)
    return all(count <= statement_judge.REST_CALLS for count, _ in worst)


def check_one_rests(fleet, callers, replicas, begin, end):
    """One replica of each service rests, and the others have room for all."""
    kept = True
    for kind in fleet_callers.KINDS:
        outcomes = callers.between(begin, end, kind)
        refused = sum(each.status != 200 for each in outcomes)
        calls = {each.call for each in outcomes}
        arrivals = sum(call["call"] in calls for replica in replicas[kind]
                       for call in fleet.call_log(replica))
        print("%s, one rests: %d calls, %d not answered, %d arrivals" % (
            kind, len(calls), refused, arrivals))
        kept &= refused == 0 and arrivals <= ARRIVALS_PER_CALL * len(calls)
    return kept


def earliest_end(logs, entry_of, refused):
    """When the first replica's rest ends for the entry that refused a call."""
    ends = []
    for log in logs:
        told = [call["at_ms"] for call in log
                if call["at_ms"] < refused.ended and call["retry_after"] and
                entry_of.get(call["call"]) == refused.entry]
        ends.append(max(told, default=0) + 1000 * float(REST))
    return min(ends)


def check_all_rest(fleet, callers, replicas, begin, end):
    kept = True
    entry_of = callers.entry_of()
    for kind in fleet_callers.KINDS:
        outcomes = callers.between(begin, end, kind)
        refused = [each for each in outcomes if each.status == 503]
        waits = [float(each.headers.get("retry-after", 0))
                 for each in refused]
        took = statistics.median(each.ended - each.sent for each in refused)
        print("%s, all rest: %s, in %.0f ms, told to come back after %.2f to "
              "%.2f s" % (kind, collections.Counter(
                  each.status for each in outcomes), took, min(waits),
                  max(waits)))
        back = [each.ended + 1000 * wait
                for each, wait in zip(refused, waits)]
        logs = [fleet.call_log(replica) for replica in replicas[kind]]
        too_early = sum(at < earliest_end(logs, entry_of, each) - CLOCK_MS
                        for each, at in zip(refused, back))
        print("%s: %d told to come back before any rest ends" % (
            kind, too_early))
        kept &= len(refused) == len(outcomes) and took < REFUSED_WITHIN_MS \
            and not too_early and max(back) - min(back) > SPREAD_MS
    return kept


def most_returned(log, entry_of, after_ms):
    """Most calls that one entry sends within this time after its last rest."""
    most = 0
    for entry in set(entry_of.values()):
        calls = [call for call in log if entry_of.get(call["call"]) == entry]
        told = [call["at_ms"] for call in calls if call["retry_after"]]
        if told:
            end = max(told) + 1000 * float(REST)
            most = max(most, sum(end <= call["at_ms"] < end + after_ms
                                 for call in calls))
    return most


def check_return(fleet, callers, replicas):
    entry_of = callers.entry_of()
    kept = True
    for replica in replicas:
        log = fleet.call_log(replica)
        counts = [most_returned(log, entry_of, after) for after in RETURN_MS]
        print("%s: most calls of an entry %s ms after its rest: %s" % (
            replica["name"], RETURN_MS, counts))
        kept &= all(count <= 2 + SLOTS * after / 1000
                    for count, after in zip(counts, RETURN_MS))
    return kept


def body(cluster):
    fleet = platform_fleet.PlatformFleet(cluster)
    fleet.start_platform()
    engines = [fleet.add_replica(event=5, slots=SLOTS) for _ in range(3)]
    plain = [fleet.add_replica(service="ledger", model="", slots=SLOTS)
             for _ in range(3)]
    for _ in range(ENTRIES):
        fleet.add_entry()
    fleet.wait_ready()
    fleet.wait_version_on(engines, 1)
    callers = fleet_callers.FleetCallers(fleet, CALLERS, PAUSE_S)
    time.sleep(2)
    begin = now_ms()
    for replica in (engines[0], plain[0]):
        fleet.ask_rest(replica, REST)
    time.sleep(ONE_RESTS_S)
    all_rest = now_ms()
    for replica in engines + plain:
        fleet.ask_rest(replica, REST)
    time.sleep(3)
    ended = now_ms()
    for replica in engines + plain:
        fleet.ask_rest(replica, "")
    time.sleep(5)
    callers.stop()
    replicas = {"draft": engines, "look": plain}
    kept = [check_rests(fleet, callers, engines + plain),
            check_one_rests(fleet, callers, replicas, begin, all_rest - 100),
            check_all_rest(fleet, callers, replicas, all_rest + 500,
                           ended - LONGEST_WAIT_MS),
            check_return(fleet, callers, engines + plain)]
    assert all(kept), kept


harness.run_case(body)
