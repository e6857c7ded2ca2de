"""A target and an entry are stopped and restarted under load.

Callers cache the list of entries for its time to live and connect to any of
them, some over persistent connections. The stopping process announces that it
stops, its peers stop using it, it serves calls that still arrive, and exits
when the last response has been sent. No call fails or is truncated.
"""

import http.client
import json
import random
import threading
import time

import harness

CALLERS = 8


class Caller(threading.Thread):
    """Calls in a loop, with a cached list of entries, as real callers do."""

    def __init__(self, number, cluster, stop):
        super().__init__()
        self.random = random.Random(number)
        self.number = number
        self.entries = [each["callers"] for each in cluster.entries]
        self.digest = None
        self.stop = stop
        self.listed_at = 0
        self.ttl = 0
        self.connection = None
        self.done = 0
        self.wrong = []

    def refresh(self):
        if time.monotonic() - self.listed_at < self.ttl:
            return
        asked = time.monotonic()
        reply = harness.call(self.random.choice(self.entries), "GET",
                             "/v1/entries").json()
        self.entries = reply["entries"]
        self.ttl = reply["ttl_seconds"]
        self.listed_at = asked

    def connect(self):
        if self.connection is None:
            host, port = self.random.choice(self.entries).rsplit(":", 1)
            self.connection = http.client.HTTPConnection(host, int(port),
                                                         timeout=30)

    def call(self):
        self.refresh()
        self.connect()
        stream = self.random.random() < 0.5
        body = json.dumps({"model": "breakdowns", "prompt": "p", "stream":
                           stream, "max_tokens": self.random.choice([5, 400])})
        self.connection.request("POST", "/v1/completions", body,
                                {"x-organisation": "acme"})
        answer = self.connection.getresponse()
        data = answer.read().decode()
        good = answer.status == 200 and (not stream or "[DONE]" in data)
        if not good:
            self.wrong.append((answer.status, data[-300:]))
        self.done += 1
        keep = answer.getheader("connection", "") != "close"
        # Half of the callers keep their connection, the others connect for each
        # call.
        if not keep or self.number % 2 == 0:
            self.connection.close()
            self.connection = None

    def run(self):
        while not self.stop.is_set():
            try:
                self.call()
            except (OSError, http.client.HTTPException) as error:
                self.wrong.append(repr(error))
                self.connection = None


def body(cluster):
    for number in range(2):
        cluster.add_entry("entry-%d" % number)
    for number in range(3):
        cluster.add_target("target-%d" % number, "drafting")
    cluster.start_platform()
    cluster.start_host_list()
    cluster.start_hosts()
    harness.declare_model(cluster)
    harness.wait_open(cluster, 3)
    stop = threading.Event()
    callers = [Caller(number, cluster, stop) for number in range(CALLERS)]
    for caller in callers:
        caller.start()
    try:
        time.sleep(1)
        assert cluster.processes["target-0"].stop() == 0
        cluster.restart("target-0")
        assert cluster.processes["entry-0"].stop() == 0
        listed = harness.call(cluster.entries[1]["callers"], "GET",
                              "/v1/entries").json()["entries"]
        assert listed == [cluster.entries[1]["callers"]], listed
        time.sleep(1)
    finally:
        stop.set()
        for caller in callers:
            caller.join()
    wrong = [each for caller in callers for each in caller.wrong]
    assert not wrong, wrong[:10]
    print("%d calls" % sum(caller.done for caller in callers))


harness.run_case(body)
