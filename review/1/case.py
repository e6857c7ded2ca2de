"""A target process is frozen between its check of staged weights and its load
order, and a staged piece turns bad at the beginning of the freeze."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

import platform_standins as standins  # noqa: E402
import signal  # noqa: E402

FREEZE_S = 4.0
# A piece that has turned bad this recently excuses the load.
EXCUSED_S = 3.0
# Time from an answer to a report until the freeze. While a replica drains, its
# target process asks for a report every 25 ms.
FREEZE_AFTER_S = 0.008
STREAM_S = 0.25
# The piece that turns bad.
PIECE = 7
PLAY_S = 18


class Freezer:
    """Freezes one target process at a time, while its replica drains.

    A query that is under way then makes the process give its load up. The next
    replica's target process is frozen in that case.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.read_back = {}
        self.frozen = None
        self.done = False
        self.lock = threading.Lock()

    def watch(self, replica):
        self.read_back[replica] = set()
        replica.after_call = self.after_call
        replica.on_start = self.on_start

    def after_call(self, replica, request):
        read_back = self.read_back[replica]
        with self.lock:
            if request.path.startswith("/stage-put/"):
                read_back.clear()
            elif request.path.startswith("/stage-get/"):
                read_back.add(request.query.get("num"))
            elif request.path == "/report" and self.is_draining(replica):
                read_back.clear()
                self.frozen = replica
                threading.Thread(target=self.freeze, daemon=True).start()

    def is_draining(self, replica):
        """Whether all pieces of a new version were read back and calls run."""
        return not self.done and not self.frozen and \
            len(self.read_back[replica]) == self.fleet.CHUNKS and \
            replica.active > 0 and \
            replica.staged[0] == self.fleet.origin.bytes_of(2, 0)

    def on_start(self, replica, order):
        # Its drain is over; a freeze would come too late.
        self.read_back[replica].clear()
        self.done = self.done or bool(order["wrong"])

    def freeze(self):
        replica = self.frozen
        time.sleep(FREEZE_AFTER_S)
        self.fleet.signal(replica.target, signal.SIGSTOP)
        piece = bytearray(replica.staged[PIECE])
        piece[100] ^= 1
        replica.staged[PIECE] = bytes(piece)
        self.fleet.record.add("piece_turned_bad", replica=replica.name,
                              piece=PIECE)
        time.sleep(FREEZE_S)
        self.fleet.signal(replica.target, signal.SIGCONT)
        time.sleep(0.3)
        self.frozen = None


def play(folder, trouble, fleets):
    fleet = standins.Fleet(folder, {"pool": True}, [
        standins.route("draft", "pool", "streaming", resumable=True,
                       max_attempts=2, sticky=True, gap_target_ms=300)])
    fleets.append(fleet)
    fleet.configure()
    for zone in ("a", "a", "b"):
        fleet.add_replica("pool", zone, event_s=0.1)
    for zone in ("a", "b"):
        fleet.add_entry(zone)
    freezer = Freezer(fleet)
    for replica in fleet.replicas if trouble else ():
        freezer.watch(replica)
    fleet.wait_ready()
    time.sleep(4)
    stop = threading.Event()
    callers = threading.Thread(target=keep_calling, args=(fleet, stop))
    callers.start()
    time.sleep(2)
    fleet.declare(2)
    time.sleep(PLAY_S)
    stop.set()
    callers.join()
    time.sleep(4)
    return judge(fleet, trouble)


def keep_calling(fleet, stop):
    number = 0
    while not stop.is_set():
        number += 1
        threading.Thread(target=fleet.call, args=(
            number % 2, "POST", "/draft/%d" % number, {
                "X-Verbenalead-Model": standins.MODEL,
                "X-Verbenalead-Token-Usage": "600,24",
                "X-Verbenalead-Prompt-Prefix": "%08x:600" % number},
            b"prompt %d" % number), daemon=True).start()
        time.sleep(STREAM_S)


def judge(fleet, trouble):
    loads = [each for each in fleet.record.all("order")
             if each["version"] == 2]
    runs = [each for each in fleet.record.all("ran") if each["version"] == 2]
    print("%d loads of version 2, %d runs on it" % (len(loads), len(runs)))
    if len(loads) < 3 or not runs:
        raise standins.CannotRun("version 2 was not loaded everywhere")
    if trouble and not fleet.record.all("piece_turned_bad"):
        raise standins.CannotRun("no load order to disturb")
    broken = []
    for load in loads:
        turned_bad = [each for each in fleet.record.all("piece_turned_bad")
                      if each["replica"] == load["replica"] and
                      each["at"] < load["at"]]
        excused = all(load["at"] - each["at"] <= EXCUSED_S
                      for each in turned_bad)
        if load["spoilt_pieces"] and not excused:
            used = [run for run in fleet.record.all("ran")
                    if run["replica"] == load["replica"] and
                    run["at"] > load["at"]]
            if used:
                broken.append(
                    "%s loaded pieces %s, bad for %.1f s; %d runs on them" % (
                        load["replica"], load["spoilt_pieces"],
                        load["at"] - turned_bad[-1]["at"], len(used)))
    return broken


# TROUBLE=0: the same without the disruption.
standins.main(FOLDER, play, os.environ.get("TROUBLE", "1") != "0")
