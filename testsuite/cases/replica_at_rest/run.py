"""Replicas turn calls away and ask the entry that sent them for a rest.

Guards against entries that go on sending calls to such a replica, against calls
that are refused though other replicas have room, against a call that makes many
arrivals, and, when all replicas rest, against calls that wait in vain or are
told to come back in the same instant. Once the rests end, the replicas must
not get all calls at the same moment.
"""

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
# Rounding of the time to come back.
CLOCK_MS = 50
# Callers that are refused within a second or two come back over this time.
SPREAD_MS = 500
# Time in which an entry sends no more than REST_CALLS after a rest.
RETURN_MS = 50


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
        print("%s, all rest: %d calls, %d refused, in %.0f ms, told to come "
              "back after %.2f to %.2f s" % (
                  kind, len(outcomes), len(refused), took, min(waits),
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


def check_return(fleet, callers, replicas, end):
    """How many calls an entry sends in the first moment after its rest."""
    entry_of = callers.entry_of()
    kept = True
    for replica in replicas:
        first = {}
        counts = {}
        for call in fleet.call_log(replica):
            entry = entry_of.get(call["call"])
            if not entry or call["at_ms"] < end or call["retry_after"]:
                continue
            first.setdefault(entry, call["at_ms"])
            if call["at_ms"] < first[entry] + RETURN_MS:
                counts[entry] = counts.get(entry, 0) + 1
        print("%s, calls by entry in the first %d ms: %s" % (
            replica["name"], RETURN_MS, counts))
        kept &= all(count <= statement_judge.REST_CALLS
                    for count in counts.values())
    return kept


def body(cluster):
    fleet = platform_fleet.PlatformFleet(cluster)
    fleet.start_platform()
    engines = [fleet.add_replica(event=5, slots=SLOTS) for _ in range(3)]
    plain = [fleet.add_replica(service="ledger", model="", slots=100)
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
    time.sleep(2)
    ended = now_ms()
    for replica in engines + plain:
        fleet.ask_rest(replica, "")
    time.sleep(5)
    callers.stop()
    replicas = {"draft": engines, "look": plain}
    kept = [check_rests(fleet, callers, engines + plain),
            check_one_rests(fleet, callers, replicas, begin, all_rest - 100),
            check_all_rest(fleet, callers, replicas, all_rest + 500,
                           ended - 100),
            check_return(fleet, callers, engines + plain, ended)]
    assert all(kept), kept


harness.run_case(body)
