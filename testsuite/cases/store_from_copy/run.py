"""Changes written after the store came back from an older copy are not in force.

The store is away for a moment and comes back from a copy, so revisions are given
out again. A change of keys and a replica's leaving that are acknowledged then
must be in force at every entry within 2 s, whether the revisions are below those
that the entries had read, or past them at their next read.
"""

import collections
import threading
import time

import harness
import platform_fleet

# Bound on changes and on leaving replicas, in seconds.
BOUND = 2.0
# Time for which the calls after the bound are judged, in seconds.
JUDGED = 2.5
PROBE_PAUSE = 0.05
# Longest time from the choice of a replica to the call's arrival, in seconds.
ARRIVES_WITHIN = 0.1
# Time after which all entries have read a change that the copy then lacks.
SETTLED = 0.7
# A replica writes its row within this time, in seconds.
HEARTBEAT = 0.3

Round = collections.namedtuple("Round", "name at_once drill")
ROUNDS = (
    # The counter is behind when the entries read again: 410, or older rows.
    Round("behind", False, dict(age_ms=3000, away_ms=300, again_ms=300)),
    # It has passed what they had read: no 410, and the change stands below.
    Round("past", True, dict(age_ms=1500, away_ms=300, again_ms=0, skip=2000)),
    # A longer outage, an older copy, and a clock that doesn't go on.
    Round("older", False, dict(age_ms=6000, away_ms=2000, again_ms=700,
                               clock_ms=90000)))


class Probe(threading.Thread):
    """Calls one entry with all keys; records the calls that broke the bound."""

    def __init__(self, fleet, entry, keys, begin):
        super().__init__()
        self.fleet = fleet
        self.entry = entry
        self.keys = keys
        self.begin = begin
        self.wrong = []
        self.calls = 0

    def run(self):
        time.sleep(max(0, self.begin - time.monotonic()))
        while time.monotonic() < self.begin + JUDGED:
            for key, allowed in self.keys:
                self.calls += 1
                number = "%s-%d" % (self.entry["name"], self.calls)
                reply = harness.call(
                    self.entry["callers"], "POST", "/pay/x", "fee",
                    self.fleet.headers("%s-%s" % (key, number), key))
                if reply.status not in allowed:
                    self.wrong.append((self.entry["name"], key, reply.status))
            time.sleep(PROBE_PAUSE)


def change(fleet, played, number):
    """Plays the drill and the change; returns when the change was acknowledged."""
    fleet.keys = [platform_fleet.KEY, "added-%d" % number]
    if played.at_once:
        row = fleet.row("op", "config", fleet.next_configuration())
        fleet.drill(writes=[row], **played.drill)
        return time.monotonic()
    fleet.drill(**played.drill)
    time.sleep(1 + played.drill["again_ms"] / 1000)
    fleet.configure()
    return time.monotonic()


def late_arrivals(fleet, replica, since):
    """Number of calls that reached `replica` beyond the bound after `since`."""
    bound = 1000 * (since + BOUND + ARRIVES_WITHIN)
    return sum(at > bound for at in fleet.arrivals(replica))


def judge(fleet, played, number, leaving):
    """Plays one round; returns whether all calls kept the bounds."""
    time.sleep(played.drill["age_ms"] / 1000)
    fleet.configure()
    time.sleep(SETTLED)
    acknowledged = change(fleet, played, number)
    fleet.leave(leaving)
    left = time.monotonic() + HEARTBEAT
    keys = [("added-%d" % number, (200,)),
            ("added-%d" % (number - 1), (401,)),
            (platform_fleet.KEY, (200,))]
    probes = [Probe(fleet, entry, keys, acknowledged + BOUND)
              for entry in fleet.entries]
    for probe in probes:
        probe.start()
    for probe in probes:
        probe.join()
    wrong = [found for probe in probes for found in probe.wrong]
    late = late_arrivals(fleet, leaving, left)
    print("%s: %d of %d calls wrong %s, %d at a replica that left" % (
        played.name, len(wrong), sum(probe.calls for probe in probes),
        dict(collections.Counter(wrong).most_common(4)), late), flush=True)
    return not wrong and late == 0


def body(cluster):
    fleet = platform_fleet.PlatformFleet(cluster)
    fleet.keys = [platform_fleet.KEY, "added-0"]
    fleet.start_platform()
    ledgers = [fleet.add_replica("ledger", "", data_center=where)
               for where in ("a", "b", "a", "b")]
    for data_center in ("a", "a", "b", "b"):
        fleet.add_entry(data_center)
    fleet.wait_ready()
    broken = [played.name for number, played in enumerate(ROUNDS, 1)
              if not judge(fleet, played, number, ledgers[number])]
    assert not broken, broken


harness.run_case(body)
