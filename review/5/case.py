"""A faulty replica sends bytes that are not its answer: they have the form of a
success, but neither the signature nor the request's id."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

import platform_standins as standins  # noqa: E402

CALLS = 600
# The faulty replica spoils one of so many of its answers.
SPOILT_EVERY = 20
JUNK = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nno answer"


def play(folder, trouble, fleets):
    fleet = standins.Fleet(folder, {"desk": False}, [
        standins.route("look", "desk", "safe", slo_ms=150, timeout_ms=1000,
                       max_attempts=2)])
    fleets.append(fleet)
    fleet.configure()
    for zone in ("a", "b", "b"):
        fleet.add_replica("desk", zone)
    for zone in ("a", "b"):
        fleet.add_entry(zone)
    if trouble:
        faulty = fleet.replicas[0]
        faulty.answer = lambda request, connection: \
            spoil(faulty, request, connection)
    fleet.wait_ready()
    time.sleep(4)
    broken = []
    served = 0
    for number in range(CALLS):
        answer = fleet.call(number % 2, "GET", "/look/%d" % number,
                            deadline_ms=1000)
        if answer.status // 100 != 2:
            continue
        served += 1
        if "x-verbenalead-server-stamp" not in answer.headers:
            broken.append("call-%d got %d without a signature: %r" % (
                number + 1, answer.status, answer.body))
    print("%d of %d calls got a success, %d without a signature" % (
        served, CALLS, len(broken)))
    if served < CALLS / 2:
        raise standins.CannotRun("too few calls were served")
    return broken


def spoil(replica, request, connection):
    replica.spoilt = getattr(replica, "spoilt", 0) + 1
    if replica.spoilt % SPOILT_EVERY:
        return replica.whole(request, connection)
    replica.record.add("sent_junk", replica=replica.name, call=request.id)
    connection.sendall(JUNK)
    return False


standins.main(FOLDER, play)
