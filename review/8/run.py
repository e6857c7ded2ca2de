"""A replica runs requests and ends some of them with a 503 of its own.

The answer doesn't state that the request was not executed, and it wasn't refused:
it has run. The entry passes the status on to the caller of an unsafe request, for
whom 503 promises that it has not run. The caller sends it once more, and it runs
again.
"""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))

import case  # noqa: E402
import harness  # noqa: E402
import platform_fleet  # noqa: E402
import plain_replica  # noqa: E402

PAYMENTS = 1500
SENDERS = 36
# Mean work of a call of listings-app.
WORK_S = 0.03
# One replica of seven fails two in five of its requests: the share (.15) and dose
# (.4) that `fleetbench kinds` names for srv_grey.
REPLICAS = 7
FAILS_EVERY = 5
FAILS = 2
# Statuses that promise that a request has not run.
PROMISES = (408, 421, 429, 503)


def failing(call):
    """The status with which the grey replica ends the run of `call`."""
    number = int(call.split("-")[1])
    return ("503 Service Unavailable" if number % FAILS_EVERY < FAILS
            else "200 OK")


def pay(fleet, entry, payment, attempt, record):
    """One attempt of a caller; its id is new each time."""
    call = "pay-%d-%d" % (payment, attempt)
    reply = harness.call(
        entry["callers"], "POST", "/pay/%d" % payment, "fee",
        fleet.headers(call, platform_fleet.KEY))
    record.add("caller: %s: %d, signature: %s", call, reply.status,
               reply.headers.get("x-verbenalead-server-stamp", "none"))
    return call, reply.status


def body(cluster, record):
    fleet = platform_fleet.PlatformFleet(cluster)
    fleet.start_platform()
    fleet.add_replica()
    replicas = []
    for number in range(1, REPLICAS + 1):
        is_grey = number == 1 and case.HAS_TROUBLE
        replicas.append(plain_replica.PlainReplica(
            fleet, "i-ledger-%d" % number,
            "127.0.4.%d:%d" % (number, fleet.replica_port), "ledger", b"paid",
            record, failing if is_grey else lambda call: "200 OK",
            WORK_S))
    entry = fleet.add_entry(**case.ENTRY_SETTINGS)
    fleet.wait_ready()
    harness.wait_for("a first call",
                     lambda: pay(fleet, entry, 10 ** 6 + 4, 0, record)[1] == 200)
    answers = {}

    def send(sender):
        for payment in range(sender, PAYMENTS, SENDERS):
            # A caller repeats an unsafe request after a promise, once.
            for attempt in range(2):
                call, status = pay(fleet, entry, payment, attempt, record)
                answers[call] = status
                if status not in PROMISES:
                    break

    harness.in_parallel(SENDERS, send)
    ran = [call for replica in replicas for call in replica.ran]
    broken = [call for call, status in answers.items()
              if status in PROMISES and call in ran]
    payments = {}
    for call in ran:
        payment = call.rsplit("-", 1)[0]
        payments[payment] = payments.get(payment, 0) + 1
    record.add("%d requests; answered with a status that promises that they "
               "have not run, and ran: %d (%s)", len(answers), len(broken),
               " ".join(broken))
    record.add("payments that ran twice: %s", " ".join(
        payment for payment, runs in payments.items() if runs > 1))
    return bool(broken)


case.run(FOLDER, body)
