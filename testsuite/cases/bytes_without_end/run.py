"""A replica sends bytes without end, in a head or a body.

An entry that reads them all runs out of memory and ends, and callers wait beyond
their time-out although sound replicas stand beside that one. Each call must end
in time, with a whole answer or a true failure, and the entry's memory must stay
below that of its host.
"""

import threading
import time

import harness
import junk_replica
import platform_fleet

CALLERS = 12
SECONDS = 2.5
# Time that callers wait, and what an entry may take beyond it, in seconds.
TIME_LEFT = 2.0
SLACK = 0.5
# Memory of an entry's host, in MB.
HOST_MB = 260


class Caller(threading.Thread):
    """Calls continuously; records calls that end late or wrong."""

    def __init__(self, entry, kind, number):
        super().__init__()
        self.entry = entry
        self.kind = kind
        self.number = number
        self.calls = 0
        self.served = 0
        self.broken = []

    def run(self):
        end = time.monotonic() + SECONDS
        while time.monotonic() < end:
            self.calls += 1
            begun = time.monotonic()
            try:
                self.judge(self.call())
            except OSError as failure:
                self.broken.append(repr(failure))
            took = time.monotonic() - begun
            if took > TIME_LEFT + SLACK:
                self.broken.append("took %.1f s" % took)
            time.sleep(0.02)

    def call(self):
        headers = platform_fleet.PlatformFleet.headers(
            "%s-%d-%d" % (self.kind, self.number, self.calls),
            platform_fleet.KEY,
            {"X-Verbenalead-Deadline-Ms": str(int(1000 * TIME_LEFT)),
             "X-Verbenalead-Token-Usage": "100,3"})
        return harness.call(self.entry["callers"], "POST",
                            "/%s/x" % self.kind, "body", headers,
                            timeout=TIME_LEFT + 4)

    def judge(self, reply):
        if reply.status != 200:
            if reply.status not in (502, 503, 504):
                self.broken.append("status %d" % reply.status)
            return
        expected = platform_fleet.events(3) if self.kind == "draft" \
            else b"ran: /look/x"
        if reply.body == expected:
            self.served += 1
        elif reply.body is not None:
            self.broken.append("body %r" % reply.body[:60])


def peak_mb(cluster, entry):
    pid = cluster.processes[entry["name"]].child.pid
    with open("/proc/%d/status" % pid) as status:
        for line in status:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
    return 0


def play(cluster, fleet, path, kind, junk):
    """Plays one kind of bytes; returns a line for each broken promise."""
    entry = fleet.entries[0]
    callers = [Caller(entry, path, number) for number in range(CALLERS)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    broken = [found for caller in callers for found in caller.broken]
    alive = cluster.processes[entry["name"]].alive()
    peak = peak_mb(cluster, entry) if alive else 0
    if not alive:
        broken.append("the entry ended")
        cluster.restart(entry["name"])
        harness.wait_for("the entry", lambda: fleet.ready(entry))
    if peak > HOST_MB:
        broken.append("%d MB of memory" % peak)
    print("%s %s: %d of %d served, %.1f MB taken, peak %.0f MB, %d broken %s" % (
        path, kind, sum(caller.served for caller in callers),
        sum(caller.calls for caller in callers),
        junk.sent / 1e6, peak, len(broken), broken[:3]), flush=True)
    return broken


def play_all(cluster, fleet, path, service, model, first):
    """Plays each kind of bytes by a replica of its own."""
    broken = []
    for number, kind in enumerate(junk_replica.KINDS, first):
        junk = add_junk(fleet, service, number, model, kind)
        broken += play(cluster, fleet, path, kind, junk)
        row = {"table": "servers", "part": "", "key": "i-junk-%d" % number}
        harness.call(fleet.store, "POST", "/rows-tx",
                     {"precondition": [], "writes": [], "remove": [row]})
    return broken


def add_junk(fleet, service, number, model, kind):
    """Adds a replica of `service` that sends `kind` of bytes."""
    address = "127.0.2.%d:%d" % (number, fleet.replica_port)
    row = {"service": service, "address": address, "zone": "a",
           "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
           "born": 1, "sequence": 0}
    if model:
        row["models"] = [{"name": model, "version": 1, "adapters": []}]
    junk = junk_replica.JunkReplica(address, kind)
    fleet.write("servers", "i-junk-%d" % number, row)
    return junk


def body(cluster):
    fleet = platform_fleet.PlatformFleet(cluster)
    fleet.start_platform()
    fleet.declare(1)
    for _ in range(2):
        fleet.add_replica("ledger", "")
        fleet.add_replica(version=1)
    entry = fleet.add_entry()
    fleet.wait_ready()
    harness.wait_for("streams", lambda: fleet.draft(entry, 0).status == 200)
    broken = play_all(cluster, fleet, "look", "ledger", "", 100)
    broken += play_all(cluster, fleet, "draft", "pool", "model", 120)
    assert not broken, broken[:10]


harness.run_case(body)
