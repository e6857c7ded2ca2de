"""Replicas run calls and end them with a status that promises "not run".

Guards against an entry that passes such a status on: the caller of a payment
repeats it, and it runs twice. First every form of such an answer is played on each
kind of route, beside rejections and other failures, which reach the caller as
before. Then callers repeat payments as the status tells them, while one of
several replicas ends two in five of its runs so.
"""

import collections
import time

import harness
import platform_fleet
import raw_replica

# Statuses that promise that a call has not run.
PROMISES = (408, 421, 429, 503)
OWN_FAILURES = (502, 504)
STAMP = "x-verbenalead-server-stamp"

NAMES = "X-Verbenalead-Request-Id: %s\r\n"
SIGNED = "X-Verbenalead-Server-Stamp: s\r\n"
REJECTED = "X-Verbenalead-Not-Executed: 1\r\n"
LENGTH = "Content-Length: 4\r\n\r\nbody"
EVENT = "id: 1\ndata: token 1\n\n"
# What follows the status line, by the name of the form.
FORMS = {
    "length": NAMES + SIGNED + LENGTH,
    "chunks": NAMES + SIGNED +
              "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    "ended by the connection": NAMES + SIGNED + "Connection: close\r\n\r\nbody",
    "empty": NAMES + SIGNED + "Content-Length: 0\r\n\r\n",
    "late": NAMES + SIGNED + LENGTH,
    "time to come back": NAMES + SIGNED + "Retry-After: 0.1\r\n" + LENGTH,
    "no signature": NAMES + LENGTH,
    "no id": SIGNED + LENGTH,
    "neither": LENGTH,
    "cut short": NAMES + SIGNED + "Content-Length: 9\r\n\r\nbody",
    "events": NAMES + SIGNED + "Content-Type: text/event-stream\r\n"
              "Content-Length: %d\r\n\r\n" % len(EVENT) + EVENT}
CLOSES = ("ended by the connection", "cut short")
LATE_S = 0.6
# Time after which a replica that rejected a call, or asked for a rest, gets
# calls again.
SETTLE_S = 0.3
# Paths by kind of route; a call of the first three may run only once.
ONCE = ("/pay/", "/pay-thrice/", "/draft-once/")
REPEATABLE = ("/look/", "/draft/")
# Forms that are played on the latter as well, which takes seconds.
REPEATED_FORMS = ("length", "neither")

PAYMENTS = 900
# Nearly as many as the replicas have slots, as an entry avoids a replica that
# fails while others have room.
SENDERS = 30
REPLICAS = 4
SLOTS = 8
FAILED_PERCENT = 40


class Fleet(platform_fleet.PlatformFleet):
    def next_configuration(self):
        config = super().next_configuration()
        common = {"host": "h", "timeout_ms": 20000, "slo_ms": 1000,
                  "priority": 1}
        config["routes"] += [
            dict(common, name="pay-thrice", prefix="/pay-thrice/",
                 service="ledger", route_kind="unsafe", max_attempts=3),
            dict(common, name="draft-once", prefix="/draft-once/",
                 service="pool", route_kind="streaming", max_attempts=3)]
        return config


class Forms:
    """Plays forms of answers with two raw replicas of each service."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.raw = []
        self.number = 0
        self.broken = []
        for service, model in (("ledger", ""), ("pool", "model")):
            for _ in range(2):
                address = "127.0.2.%d:%d" % (90 + len(self.raw),
                                             fleet.replica_port)
                self.raw.append(raw_replica.RawReplica(address))
                raw_replica.register(fleet, "i-raw-%d" % len(self.raw),
                                     service, model, address)

    def set(self, status, form, fields=""):
        for replica in self.raw:
            replica.text = "HTTP/1.1 %d X\r\n" % status + fields + FORMS[form]
            replica.closes = form in CLOSES
            replica.delay = LATE_S if form == "late" else 0

    def call(self, entry, path):
        """Makes a call; returns the reply and how often it arrived."""
        self.number += 1
        name = "form-%d" % self.number
        reply = harness.call(
            entry["callers"], "POST", path + str(self.number), "fee",
            self.fleet.headers(name, platform_fleet.KEY,
                               {"X-Verbenalead-Token-Usage": "100,3"}))
        return reply, sum(replica.calls.count(name) for replica in self.raw)

    def expect(self, kept, *what):
        if not kept:
            self.broken.append(what)

    def play_runs(self, entry, status):
        """The replicas run each call and end it with `status`."""
        for form in FORMS:
            self.set(status, form)
            for path in ONCE + (REPEATABLE if form in REPEATED_FORMS else ()):
                reply, runs = self.call(entry, path)
                what = (status, form, path, reply.status, runs)
                self.expect(runs > 0, "refused unasked", *what)
                self.expect(reply.status in OWN_FAILURES, "a promise", *what)
                self.expect(STAMP not in reply.headers, "signed", *what)
                self.expect(runs == 1 or path in REPEATABLE, "twice", *what)
                if form == "time to come back":
                    time.sleep(SETTLE_S)

    def play_rejections(self, entry):
        for status in PROMISES:
            self.set(status, "empty", REJECTED)
            for path in ONCE + REPEATABLE:
                reply, arrived = self.call(entry, path)
                self.expect(reply.status == 503 and arrived > 0, "rejected",
                            status, path, reply.status, arrived)
                time.sleep(SETTLE_S)

    def play_failures(self, entry):
        """Other failures of a run pass unchanged."""
        for status in (404, 409, 500, 504):
            self.set(status, "length")
            for path in ONCE:
                reply, arrived = self.call(entry, path)
                self.expect(reply.status == status and
                            reply.body == b"body" and
                            reply.headers.get(STAMP) == "s" and arrived == 1,
                            "changed", status, path, reply.status, arrived)

    def remove(self):
        for number in range(len(self.raw)):
            self.fleet.remove("servers", "i-raw-%d" % (number + 1))


def play_forms(fleet, entry):
    forms = Forms(fleet)
    fleet.wait_ready()
    forms.set(200, "events")
    for path in ONCE:
        harness.wait_for("a call of " + path,
                         lambda: forms.call(entry, path)[0].status == 200)
    for status in (408, 429, 503):
        forms.play_runs(entry, status)
    forms.play_rejections(entry)
    forms.play_failures(entry)
    forms.remove()
    print("%d calls of forms, broken: %s" % (forms.number, forms.broken))
    return forms.broken


def play_payments(fleet, entry, replica, status):
    """Callers repeat a payment once after a promise, under a new id.

    `replica` hasn't failed before, so that the entry doesn't avoid it yet.
    """
    answers = {}

    def send(sender):
        for payment in range(sender, PAYMENTS, SENDERS):
            for attempt in range(2):
                call = "pay-%d-%d-%d" % (status, payment, attempt)
                reply = harness.call(
                    entry["callers"], "POST", "/pay/%d" % payment, "fee",
                    fleet.headers(call, platform_fleet.KEY))
                answers[call] = reply.status
                if reply.status not in PROMISES:
                    break

    fleet.fail_runs(replica, status, FAILED_PERCENT)
    harness.in_parallel(SENDERS, send)
    fleet.fail_runs(replica, status, 0)
    ran = collections.Counter()
    for each in fleet.replicas:
        with open(fleet.cluster.path(each["name"] + ".log"),
                  errors="replace") as log:
            for line in log:
                if "event=ran " in line:
                    ran[line.split("call=")[1].split()[0]] += 1
    payments = collections.Counter()
    for call in answers:
        payments[call.rsplit("-", 1)[0]] += ran[call]
    false = [call for call in answers
             if answers[call] in PROMISES and ran[call]]
    twice = [payment for payment, runs in payments.items() if runs > 1]
    statuses = collections.Counter(answers.values())
    print("%d: %s, false promises %s, ran twice %s" % (
        status, dict(statuses), false, twice))
    # Otherwise no replica ended a run with the status.
    assert statuses[502] > 0, statuses
    return false + twice


def check_log(cluster, entry):
    """The entry's log and counters tell of each answer that it withheld."""
    with open(cluster.path(entry["name"] + ".log"), errors="replace") as log:
        lines = log.readlines()
    withheld = [line for line in lines if "event=answer_withheld " in line]
    calls = [line for line in lines if "event=call " in line and
             "outcome=withheld" in line]
    assert len(withheld) == len(calls) > 0, (len(withheld), len(calls))
    assert all("ran=true" in line and "status=502" in line and
               "would promise" in line for line in calls), calls[0]
    metrics = harness.call(entry["metrics"], "GET", "/metrics").body.decode()
    counted = sum(float(line.split()[1]) for line in metrics.split("\n")
                  if line.startswith("verbenalead_answers_withheld_total{"))
    assert counted == len(withheld), (counted, len(withheld))


def body(cluster):
    fleet = Fleet(cluster)
    fleet.start_platform()
    fleet.declare(1)
    entry = fleet.add_entry()
    broken = play_forms(fleet, entry)
    for _ in range(REPLICAS):
        fleet.add_replica("ledger", "", work=20, slots=SLOTS)
    harness.wait_for("a payment",
                     lambda: fleet.pay(entry, 10 ** 6).status == 200)
    for status, replica in zip((503, 429, 408), fleet.replicas):
        broken += play_payments(fleet, entry, replica, status)
    assert not broken, broken
    check_log(cluster, entry)


harness.run_case(body)
