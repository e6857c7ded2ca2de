"""Requests that differ, but share a part of their prompts, crash replicas.

Guards against blame that is kept by the whole request: each of these is a new
one, so that one replica after the other crashes; and against sound requests
that are refused because they came down with a replica, or share other parts.
"""

import collections
import random
import re
import threading
import time

import harness
import platform_fleet
from fleet_callers import now_ms

ENGINES = 9
CALLERS = 12
PAUSE_S = 0.02
BAD_PER_S = 6
BAD_PART = "bad0"
FIRST_PARTS = ["f%d" % number for number in range(6)]
OTHER_PARTS = ["d%d" % number for number in range(40)]
# A crashed replica is back, empty, after this time.
DOWN_S = 1.0
BEFORE_S = 4
WHILE_S = 14
STABLE_MS = 3000
# Requests with the part that may still reach replicas after that.
LATE_BAD = 3
# Sound calls that begin at the first attempt, against before the crashes.
LEAST_SHARE = 0.5
ARRIVED = re.compile(r"event=arrived call=(\S+) .*?at_ms=(\d+)")

Outcome = collections.namedtuple("Outcome", "call sent status reason first")


class Calls:
    """Sound and bad callers; records what became of each call."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.done = threading.Event()
        self.bad_begin = threading.Event()
        self.outcomes = []
        self.threads = [threading.Thread(target=self.sound, args=(number,))
                        for number in range(CALLERS)]
        self.threads.append(threading.Thread(target=self.bad))
        for thread in self.threads:
            thread.start()

    def send(self, call, rng, parts):
        entry = rng.choice(self.fleet.entries)
        text = ",".join("%s:40" % part for part in parts + ["own-" + call])
        headers = self.fleet.headers(call, platform_fleet.KEY, {
            "X-Verbenalead-Token-Usage": "100,6",
            "X-Verbenalead-Deadline-Ms": "6000",
            "X-Verbenalead-Prompt-Prefix": text})
        sent = now_ms()
        status, reason = None, ""
        try:
            reply = harness.call(entry["callers"], "POST", "/draft/" + call,
                                 "prompt " + call, headers)
            status = reply.status if reply.body is not None else None
            if reply.status != 200:
                reason = reply.body.decode()
        except OSError:
            pass
        self.outcomes.append(Outcome(call, sent, status, reason, parts[0]))

    def sound(self, caller):
        rng = random.Random(caller)
        number = 0
        while not self.done.is_set():
            number += 1
            parts = [rng.choice(FIRST_PARTS)]
            if rng.random() < 0.5:
                parts.append(rng.choice(OTHER_PARTS))
            self.send("s%d-%d" % (caller, number), rng, parts)
            time.sleep(PAUSE_S)

    def bad(self):
        rng = random.Random("bad")
        self.bad_begin.wait()
        number = 0
        while not self.done.is_set():
            number += 1
            parts = [rng.choice(FIRST_PARTS), BAD_PART]
            if rng.random() < 0.5:
                parts.insert(1, rng.choice(OTHER_PARTS))
            threading.Thread(target=self.send, args=(
                "b%d" % number, random.Random(number), parts)).start()
            time.sleep(1 / BAD_PER_S)

    def stop(self):
        self.done.set()
        self.bad_begin.set()
        for thread in self.threads:
            thread.join()


class Supervisor:
    """Starts crashed replicas again, each time with a new id."""

    def __init__(self, cluster, replicas):
        self.cluster = cluster
        self.replicas = replicas
        self.crashes = []
        self.done = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        down = {}
        while not self.done.is_set():
            for replica in self.replicas:
                name = replica["name"]
                if self.cluster.processes[name].alive():
                    continue
                if name not in down:
                    down[name] = now_ms()
                    self.crashes.append(down[name])
                elif now_ms() - down[name] > 1000 * DOWN_S:
                    del down[name]
                    self.restart(replica)
            time.sleep(0.005)

    def restart(self, replica):
        name = replica["name"]
        program, settings, options = self.cluster.settings[name]
        settings = dict(settings, id="%s-%d" % (settings["id"].split("-")[0],
                                                random.randrange(1, 1 << 30)))
        self.cluster.start(name, program, settings, options)
        threading.Thread(target=self.wake, args=(replica,)).start()

    @staticmethod
    def wake(replica):
        """Sends a first request, at which the replica registers."""
        for _ in range(100):
            try:
                harness.call(replica["address"], "GET", "/state", timeout=1)
                return
            except OSError:
                time.sleep(0.02)

    def stop(self):
        self.done.set()
        self.thread.join()


def arrivals(cluster, replicas):
    """(time in ms, call) of each arrival, from the replicas' logs."""
    found = []
    for replica in replicas:
        with open(cluster.processes[replica["name"]].log_path) as log:
            found += [(int(at), call) for call, at in
                      (match.groups() for match in
                       map(ARRIVED.search, log) if match)]
    return sorted(found)


def share_begun(outcomes, arrived):
    """Sound calls that were answered with one arrival, as a share of all."""
    good = sum(each.status == 200 and arrived[each.call] == 1
               for each in outcomes)
    return good / max(1, len(outcomes)), len(outcomes)


def body(cluster):
    fleet = platform_fleet.PlatformFleet(cluster)
    fleet.start_platform()
    engines = [fleet.add_replica(data_center="ab"[number % 2], event=20,
                                 prefill=60, crash_part=BAD_PART)
               for number in range(ENGINES)]
    for data_center in "aab":
        fleet.add_entry(data_center)
    fleet.wait_ready()
    fleet.wait_version(1)
    supervisor = Supervisor(cluster, engines)
    calls = Calls(fleet)
    try:
        time.sleep(BEFORE_S)
        began = now_ms()
        calls.bad_begin.set()
        time.sleep(WHILE_S)
    finally:
        ended = now_ms()
        calls.stop()
        supervisor.stop()
    seen = arrivals(cluster, engines)
    arrived = collections.Counter(call for _, call in seen)
    crashes = sorted(supervisor.crashes)
    fifth = crashes[min(4, len(crashes) - 1)]
    late = [call for at, call in seen
            if call.startswith("b") and at > fifth + STABLE_MS]
    sound = [each for each in calls.outcomes if each.call.startswith("s")]
    before, _ = share_begun([each for each in sound if each.sent < began],
                            arrived)
    after, count = share_begun(
        [each for each in sound
         if fifth + 2 * STABLE_MS < each.sent < ended - 1000], arrived)
    blamed = [each for each in sound if "crashes replicas" in each.reason]
    print("%d crashes, the fifth after %.0f ms; %d requests with the part "
          "reached replicas %d ms after it (allowed %d)" % (
              len(crashes), fifth - began, len(late), STABLE_MS, LATE_BAD))
    print("sound calls begun at the first attempt: %.2f before, %.2f of %d "
          "after; %d refused for crashes" % (before, after, count,
                                             len(blamed)))
    assert len(late) <= LATE_BAD, late[:10]
    assert after >= LEAST_SHARE * before
    assert not blamed, blamed[:3]


harness.run_case(body)
