"""A replica in trouble sends bytes in the form of an answer that are none.

Their status is one that HTTP doesn't have, or they are a success that is neither
signed nor names the request. Neither is what follows them on the connection an
answer: the caller must get a failure of the entry, never that status and never
the bytes behind it.
"""

import harness
import platform_fleet
import raw_replica

STATUSES = ("000", "001", "099", "101", "600", "999")
FIELDS = "X-Verbenalead-Request-Id: %s\r\nX-Verbenalead-Server-Stamp: s\r\n"
# What follows the status line and the fields, by the name of the form. The sound
# answers behind an empty one bear the request's id as well.
SOUND = "HTTP/1.1 200 OK\r\n" + FIELDS + "Content-Length: 4\r\n\r\nlate"
EVENT = "id: 1\ndata: token 1\n\n"
FORMS = {
    "empty": FIELDS + "Content-Length: 0\r\n\r\n",
    "body": FIELDS + "Content-Length: 4\r\n\r\nbody",
    "events": FIELDS + "Content-Type: text/event-stream\r\n"
              "Content-Length: %d\r\n\r\n%s" % (len(EVENT), EVENT),
    "no length": FIELDS + "Connection: close\r\n\r\nbody",
    "no id": "Content-Length: 4\r\n\r\nbody",
    "empty, then an answer": FIELDS + "Content-Length: 0\r\n\r\n" + SOUND,
    "no length, then an answer": FIELDS + "\r\n" + SOUND}
PLAYS = [(status, form) for status in STATUSES for form in FORMS] + \
    [("200", "no id"), ("200", "no id")]
FAILURES = (502, 503, 504)


def body(cluster):
    fleet = platform_fleet.PlatformFleet(cluster)
    fleet.start_platform()
    fleet.declare(1)
    raw = {}
    for number, (service, model) in enumerate((("ledger", ""),
                                               ("pool", "model"))):
        address = "127.0.2.%d:%d" % (90 + number, fleet.replica_port)
        raw[service] = raw_replica.RawReplica(address)
        raw_replica.register(fleet, "i-raw-" + service, service, model,
                             address)
    entry = fleet.add_entry()
    fleet.wait_ready()
    calls = {"look": fleet.look, "pay": fleet.pay, "draft": fleet.draft}
    broken = []
    number = 0
    for status, form in PLAYS:
        for replica in raw.values():
            replica.text = "HTTP/1.1 %s X\r\n" % status + FORMS[form]
            replica.closes = form == "no length"
        # The second call at a plain replica is refused, as its replica has
        # just failed, so they take turns.
        names = ("look", "pay") if number % 2 else ("pay", "look")
        got = []
        for name in names + ("draft",):
            call = calls[name]
            number += 1
            reply = call(entry, number)
            got.append(reply.status)
            if reply.status not in FAILURES:
                broken.append((status, form, name, reply.status))
        print("%s, %s: %s" % (status, form, got), flush=True)
    for service, replica in raw.items():
        # Otherwise the calls were refused before they reached it.
        print("%s: %d requests" % (service, len(replica.calls)))
        assert len(replica.calls) >= len(PLAYS) / 3
    assert not broken, broken


harness.run_case(body)
