"""Processes that count for a limited replica die, stall or start while it is
limited, and its limit changes.

Guards against a limit that holds only while all processes hear of each other:
a target process that doesn't answer, or an entry that has just taken over the
token bucket of a plain replica, must not let more through.
"""

import threading
import time

import harness
import platform_fleet
import rate_judge

ENTRIES = 4
CALLERS = 8
PAUSE_S = 0.1
LIMIT = 2
# Requests a second after the limit has changed.
LOWER_LIMIT = 0.3


class Load:
    """Callers that call the entries in turn; a dead one is passed over."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.done = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(number,))
                        for number in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def run(self, caller):
        number = 1000 * (caller + 1)
        while not self.done.is_set():
            number += 1
            entry = self.fleet.entries[number % len(self.fleet.entries)]
            try:
                self.fleet.draft(entry, number, 2)
                self.fleet.look(entry, number)
            except OSError:
                pass  # The entry is down.
            time.sleep(PAUSE_S)

    def stop(self):
        self.done.set()
        for thread in self.threads:
            thread.join()


def now_ms():
    return time.monotonic() * 1000


def check(fleet, name, replica, limit, begin, end):
    worst = rate_judge.worst_window(fleet.arrivals(replica), begin, end)
    print("%s, limit %s: at most %d in 4 s, allowed %.1f" %
          (name, limit, worst, rate_judge.allowed(limit)))
    assert worst <= rate_judge.allowed(limit), (name, worst)


def disturb(cluster, engine, entries):
    """Ends and stalls the target process and each entry in turn."""
    target = engine["target"]
    cluster.processes[target].freeze()
    time.sleep(2)
    cluster.processes[target].wake()
    for name in [target] + [entry["name"] for entry in entries]:
        cluster.processes[name].kill()
        time.sleep(1.5)
        cluster.restart(name)
        time.sleep(1)
    for entry in entries[:2]:
        cluster.processes[entry["name"]].freeze()
        time.sleep(2)
        cluster.processes[entry["name"]].wake()


def body(cluster):
    fleet = platform_fleet.PlatformFleet(cluster)
    fleet.start_platform()
    engine = fleet.add_replica()
    fleet.add_replica()
    plain = fleet.add_replica(service="ledger", model="", slots=100)
    fleet.add_replica(service="ledger", model="", slots=100)
    for _ in range(ENTRIES):
        fleet.add_entry()
    fleet.wait_ready()
    for replica in fleet.replicas[:2]:
        harness.wait_for("version 1 on " + replica["name"],
                         lambda: fleet.state(replica)["version"] == 1)
    load = Load(fleet)
    limited = {"engine": engine, "plain": plain}
    for replica in limited.values():
        fleet.name_limit(replica, str(LIMIT))
    begin = now_ms() + rate_judge.SETTLE_MS
    time.sleep(rate_judge.SETTLE_MS / 1000)
    disturb(cluster, engine, fleet.entries)
    end = now_ms()
    for name, replica in limited.items():
        check(fleet, name, replica, LIMIT, begin, end)
    for replica in limited.values():
        fleet.name_limit(replica, str(LOWER_LIMIT))
    begin = now_ms() + rate_judge.SETTLE_MS
    time.sleep(rate_judge.SETTLE_MS / 1000 + 8)
    end = now_ms()
    load.stop()
    for name, replica in limited.items():
        check(fleet, name, replica, LOWER_LIMIT, begin, end)


harness.run_case(body)
