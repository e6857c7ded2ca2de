"""Injects a plan's faults into a deployment, from outside its processes."""

import collections
import heapq
import http.client
import itertools
import json
import signal
import threading
import time

import harness
from soak import judge_limits
from soak.judge_evacuations import Evacuation
from soak.deployment import GUEST_KEY, KEY_BOUND
from soak.judge_lost import Disturbance

RETRY = 0.3
SLOW_MS = 150
LOST_ANSWERS = 3
STORM = 6
# Seconds for which an entry is frozen: somewhat longer than the bound within
# which a removed key must stop working.
SLEEP_OVER_BOUND = 6.3
PROBE_AFTER = KEY_BOUND + 0.1
LARGE_ROUTES = 1000
# Prefixes of the kinds of unplanned faults.
UNPLANNED = ("kill", "freeze", "store", "link", "revoke_asleep")
# A call on a connection that was silenced can be affected for as long as the
# call may last, in seconds.
HARM_OF_LINKS = 8.0
# Time after the end of a disturbance in which what was held up arrives, and
# time that an entry may take to stop, in seconds.
HARM_SETTLES = 1.0
LONGEST_STOP = 9.0


class Injector:
    """Runs a plan, and records what the checks need to know of the faults."""

    def __init__(self, deployment, plan, probe_guest):
        self.deployment = deployment
        # Function that calls each entry with the guest's key.
        self.probe_guest = probe_guest
        self.cluster = deployment.cluster
        self.queue = []
        self.order = itertools.count()
        self.weights = 1
        # Intervals in which the guest's key was certainly removed: from the
        # acknowledgement of its removal until its restoration was sent.
        self.barred = []
        self.ended = []
        self.disturbances = []
        # Limits of replicas that hold now, and those that have ended.
        self.limits = {}
        self.ended_limits = []
        self.evacuations = []
        # Per process, the times (ms) in which it, or its links, were disturbed.
        self.harmed = collections.defaultdict(list)
        # Per process, the times at which it was told to stop.
        self.stops = collections.defaultdict(list)
        self.stopping = set()
        for fault in plan:
            self.later(fault.at, self.bring, fault)

    def later(self, at, action, *arguments):
        heapq.heappush(self.queue,
                       (at, next(self.order), action, arguments))

    def run(self):
        """Runs the whole plan; returns when the last fault has ended."""
        self.begun = time.monotonic()
        while self.queue:
            at, _, action, arguments = heapq.heappop(self.queue)
            time.sleep(max(0, self.begun + at - time.monotonic()))
            self.note_ended()
            action(*arguments)

    def bring(self, fault):
        if fault.kind.startswith(UNPLANNED):
            begin = time.monotonic()
            lasts = fault.lasts
            if fault.kind.startswith("link"):
                lasts += HARM_OF_LINKS
            elif fault.kind == "revoke_asleep":
                lasts = SLEEP_OVER_BOUND
            self.disturbances.append(
                Disturbance(begin, begin + lasts, fault.kind))
        kind, _, argument = fault.kind.partition(" ")
        if kind in ("limit", "rest", "store_returns", "evacuate", "fail"):
            getattr(self, kind)(fault, argument)
        else:
            getattr(self, kind)(fault)

    def now(self):
        return time.monotonic() - self.begun

    def note_ended(self):
        """Records processes under test that exited without being stopped."""
        for name in self.deployment.programs():
            if not self.cluster.processes[name].alive() and \
                    name not in self.stopping:
                self.ended.append(name)
                self.stopping.add(name)

    def pick(self, names, fault):
        return names[fault.victim % len(names)]

    def entries(self):
        return [entry["name"] for entry in self.deployment.entries]

    def targets(self):
        return [name for name in self.deployment.programs()
                if name.startswith("target")]

    def replicas(self):
        return [replica["name"] for replica in self.deployment.replicas]

    # Processes.

    def harm(self, name, lasts):
        now = time.monotonic() * 1000
        self.harmed[name].append((now, now + 1000 * (lasts + HARM_SETTLES)))

    def kill(self, name, fault):
        if name in self.stopping:
            return
        self.harm(name, fault.lasts)
        self.stopping.add(name)
        self.end_limit(name)
        self.cluster.processes[name].wake()
        self.cluster.processes[name].kill()
        self.later(self.now() + fault.lasts, self.restart, name)

    def restart(self, name):
        if self.cluster.processes[name].alive():
            self.later(self.now() + RETRY, self.restart, name)
            return
        self.cluster.restart(name)
        self.stopping.discard(name)
        if name.startswith("replica"):
            self.later(self.now() + RETRY, self.register, name)

    def register(self, name):
        """Sends a request, as a replica registers only at its first one."""
        address = self.cluster.settings[name][1]["listen"]
        try:
            harness.call(address, "GET", "/state", timeout=1)
        except OSError:
            self.later(self.now() + RETRY, self.register, name)

    def kill_entry(self, fault):
        self.kill(self.pick(self.entries(), fault), fault)

    def kill_target(self, fault):
        self.kill(self.pick(self.targets(), fault), fault)

    def kill_replica(self, fault):
        self.kill(self.pick(self.replicas(), fault), fault)

    def stop(self, name):
        if name in self.stopping:
            return
        self.stopping.add(name)
        self.harm(name, LONGEST_STOP)
        process = self.cluster.processes[name]
        process.wake()
        process.send(15)
        self.stops[name].append(time.monotonic())
        self.later(self.now() + RETRY, self.restart, name)

    def stop_entry(self, fault):
        self.stop(self.pick(self.entries(), fault))

    def stop_target(self, fault):
        self.stop(self.pick(self.targets(), fault))

    def freeze(self, name, fault):
        if name in self.stopping:
            return
        process = self.cluster.processes[name]
        self.harm(name, fault.lasts)
        # Requests that were sent to a frozen replica all arrive at its wake.
        self.end_limit(name)
        process.freeze()
        self.later(self.now() + fault.lasts, process.wake)

    def freeze_entry(self, fault):
        self.freeze(self.pick(self.entries(), fault), fault)

    def freeze_target(self, fault):
        self.freeze(self.pick(self.targets(), fault), fault)

    def freeze_replica(self, fault):
        self.freeze(self.pick(self.replicas(), fault), fault)

    def pause_replica(self, fault):
        """The replica sends nothing for a while and then continues."""
        self.freeze_replica(fault)

    def hup_entry(self, fault):
        name = self.pick(self.entries(), fault)
        if name not in self.stopping:
            self.cluster.processes[name].send(signal.SIGHUP)

    # Rate limits.

    def limit(self, fault, text):
        name = self.pick(self.replicas(), fault)
        if name in self.stopping:
            return
        self.end_limit(name)
        try:
            harness.call(self.cluster.settings[name][1]["listen"], "POST",
                         "/limit", text, timeout=1)
        except OSError:
            return  # The replica is frozen.
        self.limits[name] = judge_limits.Limit(
            name, text, time.monotonic() * 1000, None)

    def end_limit(self, name):
        limit = self.limits.pop(name, None)
        if limit:
            self.ended_limits.append(
                limit._replace(end=time.monotonic() * 1000))

    # Replicas that leave or ask for rest in their answers.

    def state(self, name, path, text):
        """Sets a statement of a replica; False if it doesn't answer.

        One that is frozen takes it over when it wakes.
        """
        try:
            harness.call(self.cluster.settings[name][1]["listen"], "POST",
                         path, text, timeout=1)
            return True
        except OSError:
            return False

    def leave(self, fault):
        """The replica says that it leaves, then ends; a new process follows."""
        name = self.pick(self.replicas(), fault)
        if name in self.stopping:
            return
        self.state(name, "/leaving", "1")
        self.later(self.now() + fault.lasts, self.kill, name, fault)

    def rest(self, fault, text):
        self.state_for(fault, "/rest", text)

    def fail(self, fault, text):
        """The replica ends some of its runs with a status of its own."""
        self.state_for(fault, "/fail", text)

    def state_for(self, fault, path, text):
        """Sets a statement of a replica while the fault lasts."""
        name = self.pick(self.replicas(), fault)
        if name in self.stopping:
            return
        self.state(name, path, text)
        self.later(self.now() + fault.lasts, self.end_statement, name, path)

    def end_statement(self, name, path):
        if name not in self.stopping and not self.state(name, path, ""):
            self.later(self.now() + RETRY, self.end_statement, name, path)

    # The store.

    def store(self, fault, **faults):
        self.cluster.faults(self.deployment.store, **faults)
        self.later(self.now() + fault.lasts, self.cluster.faults,
                   self.deployment.store)

    def store_down(self, fault):
        self.store(fault, down=True)

    def store_hangs(self, fault):
        self.store(fault, hang=True)

    def store_returns(self, fault, arguments):
        """The store is away and comes back from an older copy."""
        age, again, skip = arguments.split()
        threading.Thread(target=self.drill, daemon=True, kwargs={
            "age_ms": int(1000 * float(age)),
            "away_ms": int(1000 * fault.lasts),
            "again_ms": int(1000 * float(again)), "skip": int(skip)}).start()

    def drill(self, **parts):
        try:
            self.deployment.drill(**parts)
        except (OSError, ValueError):
            pass  # The store hangs or is down; it does not return then.

    def store_slow(self, fault):
        self.store(fault, delay_ms=SLOW_MS)

    def store_forgets(self, fault):
        self.store(fault, forget=1)

    def store_loses(self, fault):
        self.store(fault, lose_answers=LOST_ANSWERS)

    # Links.

    def link(self, fault, **commands):
        names = sorted(self.deployment.relays)
        name = self.pick(names, fault)
        self.harm(name, HARM_OF_LINKS)
        address = self.deployment.relays[name]
        harness.call(address, "POST", "/faults", commands)
        if "delay_ms" in commands:
            self.later(self.now() + fault.lasts, harness.call, address, "POST",
                       "/faults", {})

    def link_silent(self, fault):
        self.link(fault, silent=True)

    def link_one_way(self, fault):
        self.link(fault, far_silent=True)

    def link_cut(self, fault):
        self.link(fault, cut=True)

    def link_slow(self, fault):
        self.link(fault, delay_ms=SLOW_MS)

    # The operator.

    def write(self, action, *arguments):
        """Writes into the store; schedules a retry if not acknowledged."""
        try:
            action()
            return True
        except (OSError, AssertionError, ValueError, KeyError,
                http.client.HTTPException):
            self.later(self.now() + RETRY, *arguments)
            return False

    def configure(self, fault):
        self.publish()

    def storm(self, fault):
        for number in range(STORM):
            self.later(self.now() + number * 0.05, self.configure, fault)

    def large(self, fault):
        self.deployment.more_routes = LARGE_ROUTES
        self.publish()

    def declare(self, fault):
        self.weights += 1
        self.declare_again(self.weights)

    def declare_again(self, version):
        # A retry must not replace a version that was declared meanwhile.
        if version < self.weights:
            return
        self.write(lambda: self.deployment.declare(version),
                   self.declare_again, version)

    def evacuate(self, fault, data_center):
        self.begin_evacuation(data_center, self.now() + fault.lasts)

    def begin_evacuation(self, data_center, until):
        if self.now() >= until:
            self.end_evacuation(data_center)
            return
        if self.write(
                lambda: self.deployment.write("op", "evacuate/" + data_center,
                                              {}),
                self.begin_evacuation, data_center, until):
            self.evacuations.append(Evacuation(
                data_center, time.monotonic() * 1000, float("inf")))
            self.later(until, self.end_evacuation, data_center)

    def end_evacuation(self, data_center):
        now = time.monotonic() * 1000
        self.evacuations = [
            each._replace(end=min(each.end, now))
            if each.data_center == data_center else each
            for each in self.evacuations]
        self.write(
            lambda: self.deployment.remove("op", "evacuate/" + data_center),
            self.end_evacuation, data_center)

    def outages(self):
        """Times (ms) in which the store was disturbed."""
        return [(1000 * each.begin, 1000 * each.end)
                for each in self.disturbances if each.what.startswith("store")]

    def revoke(self, fault):
        if not self.deployment.guest_keys:
            return
        self.deployment.guest_keys = []
        self.bar(fault)

    def revoke_asleep(self, fault):
        """Removes the key while an entry is frozen, which then gets calls."""
        self.freeze(self.pick(self.entries(), fault),
                    fault._replace(lasts=SLEEP_OVER_BOUND))
        self.revoke(fault)

    def bar(self, fault):
        if self.deployment.guest_keys or not self.write(self.deployment.configure, self.bar, fault):
            return
        self.barred.append([time.monotonic(), float("inf")])
        self.later(self.now() + PROBE_AFTER, self.probe_guest)
        self.later(self.now() + 8 + fault.lasts, self.give_back)

    def give_back(self):
        self.deployment.guest_keys = [GUEST_KEY]
        self.barred[-1][1] = min(self.barred[-1][1], time.monotonic())
        self.publish()

    def publish(self):
        self.write(self.deployment.configure, self.publish)

    def describe(self, plan):
        return json.dumps([list(fault) for fault in plan])
