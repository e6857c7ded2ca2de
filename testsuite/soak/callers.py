"""Callers of a soak deployment, and a record of the outcome of each call."""

import dataclasses
import http.client
import random
import threading
import time

import platform_fleet
from soak.deployment import GUEST_KEY

CALL_TIMEOUT = 15.0
DEADLINE_MS = 6000
MOST_EVENTS = 40
PAUSES = (0.0, 0.01, 0.03, 0.1)
PROBES = 4


@dataclasses.dataclass
class Outcome:
    call: str
    kind: str
    entry: str
    guest: bool
    sent: float
    events: int = 0
    took: float = 0.0
    # None: the connection failed before response headers arrived.
    status: int | None = None
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    whole: bool = False


class Callers:
    """Threads that call continuously, half on persistent connections."""

    def __init__(self, deployment, seed, count):
        self.deployment = deployment
        self.outcomes = []
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        self.probes = 0
        self.threads = [
            threading.Thread(target=self.run, args=(seed, number))
            for number in range(count)]

    def start(self):
        for thread in self.threads[:]:
            thread.start()

    def probe_guest(self):
        """Calls each entry with the guest's key, beside the usual calls."""
        for entry in self.deployment.entries:
            for _ in range(PROBES):
                self.probes += 1
                outcome = Outcome("probe-%d" % self.probes, "pay",
                                  entry["name"], True, time.monotonic())
                thread = threading.Thread(target=self.probe,
                                          args=(entry, outcome))
                self.threads.append(thread)
                thread.start()

    def probe(self, entry, outcome):
        connection = self.call(entry, outcome, None)
        if connection:
            connection.close()
        with self.lock:
            self.outcomes.append(outcome)

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def run(self, seed, number):
        rng = random.Random("%d/%d" % (seed, number))
        keeps = number % 2 == 0
        connections = {}
        count = 0
        while not self.stopped.is_set():
            count += 1
            entry = rng.choice(self.deployment.entries)
            outcome = Outcome("c%d-%d" % (number, count),
                              rng.choice(list(self.deployment.services)),
                              entry["name"],
                              rng.random() < 0.3, time.monotonic(),
                              rng.randrange(1, MOST_EVENTS))
            connection = connections.pop(entry["name"], None)
            connection = self.call(entry, outcome, connection)
            if connection and keeps:
                connections[entry["name"]] = connection
            with self.lock:
                self.outcomes.append(outcome)
            time.sleep(rng.choice(PAUSES))

    def call(self, entry, outcome, connection):
        """Makes one call; returns the connection if it is reusable."""
        host, port = entry["callers"].rsplit(":", 1)
        connection = connection or http.client.HTTPConnection(
            host, int(port), timeout=CALL_TIMEOUT)
        try:
            connection.request("POST", "/%s/x" % outcome.kind, "body",
                               self.headers(outcome))
            answer = connection.getresponse()
            outcome.status = answer.status
            outcome.headers = {name.lower(): value
                               for name, value in answer.getheaders()}
            outcome.body = answer.read()
            outcome.whole = True
            reusable = not answer.will_close
        except http.client.IncompleteRead as cut:
            outcome.body = cut.partial
            reusable = False
        except (OSError, http.client.HTTPException):
            reusable = False
        outcome.took = time.monotonic() - outcome.sent
        if not reusable:
            connection.close()
            return None
        return connection

    @staticmethod
    def headers(outcome):
        headers = platform_fleet.PlatformFleet.headers(
            outcome.call, GUEST_KEY if outcome.guest else platform_fleet.KEY,
            {"X-Verbenalead-Deadline-Ms": str(DEADLINE_MS)})
        if outcome.kind == "draft":
            headers["X-Verbenalead-Token-Usage"] = "100,%d" % outcome.events
        return headers
