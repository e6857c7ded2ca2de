"""Replicas are silent for a while during responses.

The caller gets the complete response although no other replica has a free slot:
the silence of a replica alone never ends a response.
"""

import threading
import time

import harness
import platform_fleet

# In seconds: longer than an entry waits before it tries another replica, and
# well below the callers' deadline.
PAUSES = (1.1, 2.5)
EVENTS = 40


def start(call):
    """Runs `call` in a thread; returns it and a list that gets the reply."""
    replies = []
    caller = threading.Thread(target=lambda: replies.append(call()))
    caller.start()
    return caller, replies


def pause(process, seconds):
    process.freeze()
    time.sleep(seconds)
    process.wake()


def check_mid_stream(fleet, entry, replica, process):
    for number, seconds in enumerate(PAUSES):
        caller, replies = start(
            lambda: fleet.draft(entry, 10 + number, EVENTS))
        harness.wait_for("the stream to run",
                         lambda: fleet.state(replica)["active"] > 0)
        time.sleep(0.3)
        pause(process, seconds)
        caller.join()
        assert replies[0].body == platform_fleet.events(EVENTS), \
            (seconds, replies[0].status, replies[0].body)


def check_heads(fleet, entry, process, call, expected):
    for number, seconds in enumerate(PAUSES):
        process.freeze()
        caller, replies = start(lambda: call(entry, 20 + number))
        time.sleep(seconds)
        process.wake()
        caller.join()
        assert (replies[0].status, replies[0].body) == \
            (200, expected(20 + number)), (seconds, replies[0].status)


def body(cluster):
    fleet = platform_fleet.PlatformFleet(cluster)
    fleet.start_platform()
    engine = fleet.add_replica(event=50)
    plain = fleet.add_replica(service="ledger", model="")
    entry = fleet.add_entry()
    fleet.wait_ready()
    harness.wait_for("version 1 on the engine",
                     lambda: fleet.state(engine)["version"] == 1)
    harness.wait_for("a first stream",
                     lambda: fleet.draft(entry, 0).status == 200)
    harness.wait_for("a first look",
                     lambda: fleet.look(entry, 0).status == 200)
    engine_process = cluster.processes[engine["name"]]
    check_mid_stream(fleet, entry, engine, engine_process)
    check_heads(fleet, entry, engine_process, fleet.draft,
                lambda number: platform_fleet.events(5))
    check_heads(fleet, entry, cluster.processes[plain["name"]], fleet.look,
                lambda number: b"ran: /look/%d" % number)


harness.run_case(body)
