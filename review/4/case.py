"""Requests with one part crash each replica that begins to answer them."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

import platform_standins as standins  # noqa: E402

BAD_PART = "5c1e07a2"
BACK_AFTER_S = 2.5
PAUSE_S = 0.35
PLAY_S = 45
# Of the rule: requests that may reach replicas this long after this crash.
CRASHES = 5
MOST_REQUESTS = 3
STABLE_S = standins.BOUNDS["stable_ms"] / 1000


def prompt(part, number):
    return {"X-Verbenalead-Model": standins.MODEL,
            "X-Verbenalead-Token-Usage": "600,8",
            "X-Verbenalead-Prompt-Prefix":
                "%s:40,%08x:560" % (part, 0xa0000000 + number)}


def play(folder, trouble, fleets):
    fleet = standins.Fleet(folder, {"pool": True}, [
        standins.route("draft", "pool", "streaming", resumable=True,
                       max_attempts=2, sticky=True, gap_target_ms=300)])
    fleets.append(fleet)
    fleet.configure()
    for zone in ("a", "a", "b", "b"):
        replica = fleet.add_replica("pool", zone)
        if trouble:
            replica.after_event = lambda request, number, r=replica: \
                crash_on_part(r, request)
    for zone in ("a", "b"):
        fleet.add_entry(zone)
    fleet.wait_ready()
    time.sleep(4)  # All machines are in touch.
    threads = []
    end = time.monotonic() + PLAY_S
    number = 0
    while time.monotonic() < end:
        number += 1
        for part, kind in ((BAD_PART, "bad"), ("91bd3f06", "sound")):
            thread = threading.Thread(target=fleet.call, args=(
                number % 2, "POST", "/draft/%s-%d" % (kind, number),
                prompt(part, number), b"prompt %d" % number), kwargs={
                    "name": "%s-%d" % (kind, number)}, daemon=True)
            thread.start()
            threads.append(thread)
        time.sleep(PAUSE_S)
    for thread in threads:
        thread.join(8)
    return judge(fleet, trouble)


def crash_on_part(replica, request):
    """The replica has written its first event of the answer."""
    parts = request.headers.get("x-verbenalead-prompt-prefix", "")
    if BAD_PART + ":" in parts.rsplit(",", 1)[0]:
        replica.crash(BACK_AFTER_S)
        raise ConnectionError("crashed")


def judge(fleet, trouble):
    served = sum(1 for answer in fleet.record.all("answered")
                 if answer["status"] == 200 and answer["complete"])
    crashes = fleet.record.all("crashed")
    print("%d answers complete, %d crashes" % (served, len(crashes)))
    if not trouble:
        sent = len(fleet.record.all("sent"))
        if served < sent * 0.9:
            raise standins.CannotRun("%d of %d served" % (served, sent))
        return []
    if len(crashes) < CRASHES:
        return []
    bound = crashes[CRASHES - 1]["at"] + STABLE_S
    late = [each for each in fleet.record.all("reached")
            if each["call"].startswith("bad") and each["at"] > bound]
    print("%d requests with the part reached replicas after %.1f s" %
          (len(late), bound))
    if len(late) <= MOST_REQUESTS:
        return []
    return ["%s reached %s at %.1f s" % (each["call"], each["replica"],
                                         each["at"]) for each in late]


# TROUBLE=0: the same without the disruption.
standins.main(FOLDER, play, os.environ.get("TROUBLE", "1") != "0")
