"""Callers that call the entries of a platform fleet in turn until stopped."""

import collections
import threading
import time

KINDS = ("draft", "look")

# `call` is the id that replicas log; `sent` and `ended` are in ms of the
# monotonic clock.
Outcome = collections.namedtuple(
    "Outcome", "call kind entry status headers sent ended")


def now_ms():
    return time.monotonic() * 1000


class FleetCallers:
    """Threads that alternate between streams and calls of the plain service."""

    def __init__(self, fleet, callers, pause_s, events=2, kinds=KINDS):
        self.fleet = fleet
        self.pause_s = pause_s
        self.events = events
        self.kinds = kinds
        self.done = threading.Event()
        self.outcomes = []
        self.threads = [threading.Thread(target=self.run, args=(number,))
                        for number in range(callers)]
        for thread in self.threads:
            thread.start()

    def run(self, caller):
        number = 10000 * (caller + 1)
        while not self.done.is_set():
            number += 1
            entry = self.fleet.entries[number % len(self.fleet.entries)]
            if "draft" in self.kinds:
                self.call("draft", entry, number, self.events)
            if "look" in self.kinds:
                self.call("look", entry, number)
            time.sleep(self.pause_s)

    def call(self, kind, entry, number, *arguments):
        sent = now_ms()
        try:
            reply = getattr(self.fleet, kind)(entry, number, *arguments)
            status, headers = reply.status, reply.headers
        except OSError:
            status, headers = None, {}
        self.outcomes.append(Outcome("%s-%d" % (kind, number), kind,
                                     entry["name"], status, headers, sent,
                                     now_ms()))

    def stop(self):
        self.done.set()
        for thread in self.threads:
            thread.join()

    def between(self, begin, end, kind=None):
        """Outcomes of the calls that were sent in this time."""
        return [outcome for outcome in self.outcomes
                if begin <= outcome.sent < end and
                kind in (None, outcome.kind)]

    def entry_of(self):
        """Maps the id of each call to the entry that it was sent to."""
        return {outcome.call: outcome.entry for outcome in self.outcomes}
