"""Callers that send calls at set rates, whatever becomes of earlier ones."""

import random
import threading
import time

import harness

SEED = 7


class OpenCallers:
    """Sends calls of several kinds to the entries of a fleet in turn.

    A caller whose call is refused sends it once more, after the time that the
    refusal names. `rates` maps kinds to calls a second; `send(kind, entry,
    number)` makes one call and returns the reply.
    """

    def __init__(self, fleet, rates, send):
        self.fleet = fleet
        self.send = send
        self.lock = threading.Lock()
        self.asked = dict.fromkeys(rates, 0)
        self.served = dict.fromkeys(rates, 0)
        # Times in ms until callers were refused for the first time.
        self.refused_after = []
        self.rates = rates

    def play(self, seconds):
        rng = random.Random(SEED)
        calls = sorted(
            (at, kind) for kind, rate in sorted(self.rates.items())
            for at in self.times(rng, rate, seconds))
        threads = []
        begun = time.monotonic()
        for number, (at, kind) in enumerate(calls):
            time.sleep(max(0, begun + at - time.monotonic()))
            thread = threading.Thread(target=self.call, args=(kind, number))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    @staticmethod
    def times(rng, rate, seconds):
        at = rng.expovariate(rate)
        while at < seconds:
            yield at
            at += rng.expovariate(rate)

    def call(self, kind, number):
        entry = self.fleet.entries[number % len(self.fleet.entries)]
        sent = time.monotonic()
        reply = self.send(kind, entry, number)
        if reply.status in (429, 503):
            refused_after = 1000 * (time.monotonic() - sent)
            time.sleep(float(reply.headers.get("retry-after", 0)))
            with self.lock:
                self.refused_after.append(refused_after)
            reply = self.send(kind, entry, 1000000 + number)
        with self.lock:
            self.asked[kind] += 1
            self.served[kind] += reply.status == 200

    def share(self, *kinds):
        """Share of the calls of these kinds that were served."""
        return sum(self.served[kind] for kind in kinds) / max(
            1, sum(self.asked[kind] for kind in kinds))


def stream(entry, path, headers):
    return harness.call(entry["callers"], "POST", path, "prompt", headers)
