"""The store turns one of three entries away for some seconds. A configuration that
is acknowledged soon after that is not in force there within its bound."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

import platform_standins as standins  # noqa: E402

AWAY_S = 9.0
CONFIG_S = 2.0
STABLE_S = standins.BOUNDS["stable_ms"] / 1000
# From the end of the disruption.
CHANGE_AFTER_S = 0.3
PLAY_S = 8.0
PAUSE_S = 0.05


def play(folder, trouble, fleets):
    old = standins.route("old", "desk", "safe", slo_ms=150, timeout_ms=1000,
                         max_attempts=2)
    fleet = standins.Fleet(folder, {"desk": False}, [old])
    fleets.append(fleet)
    fleet.configure()
    for zone in ("a", "b"):
        fleet.add_replica("desk", zone)
    fleet.add_entry("a", fleet.store.second_address)
    fleet.add_entry("b")
    fleet.add_entry("c")
    fleet.wait_ready()
    time.sleep(5)
    if trouble:
        fleet.record.add("turned_away", entry="edge-1")
        fleet.store.turn_away(True)
        time.sleep(AWAY_S)
        fleet.store.turn_away(False)
    returned = fleet.record.add("disruption_over")["at"]
    time.sleep(CHANGE_AFTER_S)
    fleet.routes = [dict(old, name="new", prefix="/new/")]
    acknowledged = fleet.configure() - standins.STARTED
    stop = threading.Event()
    threads = [threading.Thread(target=keep_calling,
                                args=(fleet, stop, entry, path))
               for entry in range(3) for path in ("new", "old")]
    for thread in threads:
        thread.start()
    time.sleep(PLAY_S)
    stop.set()
    for thread in threads:
        thread.join()
    return judge(fleet, max(acknowledged + CONFIG_S, returned + STABLE_S))


def keep_calling(fleet, stop, entry, path):
    number = 0
    while not stop.is_set():
        number += 1
        fleet.call(entry, "GET", "/%s/%d" % (path, number), deadline_ms=1000,
                   name="%s-%d-%d" % (path, entry, number))
        time.sleep(PAUSE_S)


def judge(fleet, bound):
    """Calls that were sent after `bound` and handled by the older version."""
    answers = {each["call"]: each for each in fleet.record.all("answered")}
    ran = {each["call"] for each in fleet.record.all("ran")}
    served = 0
    broken = []
    for sent in fleet.record.all("sent"):
        call = sent["call"]
        if sent["at"] <= bound:
            continue
        if call.startswith("new") and call in ran:
            served += 1
        if call.startswith("new") and answers[call]["status"] == 404:
            broken.append("%s got 404 from %s, %.2f s after the bound" % (
                call, sent["entry"], sent["at"] - bound))
        if call.startswith("old") and call in ran:
            broken.append("%s ran by %s, %.2f s after the bound" % (
                call, sent["entry"], sent["at"] - bound))
    print("%d calls of the new route ran after the bound, %d calls as an older "
          "version allows" % (served, len(broken)))
    if not served:
        raise standins.CannotRun("the new configuration never came in force")
    return broken


# TROUBLE=0: the same without the disruption.
standins.main(FOLDER, play, os.environ.get("TROUBLE", "1") != "0")
