"""A replica is killed in the middle of a stream.

The caller gets one stream that contains each event once and in order: the entry
resumes at another replica after the last complete event.
"""

import threading
import time

import harness
import platform_fleet


def body(cluster):
    fleet = platform_fleet.PlatformFleet(cluster)
    fleet.start_platform()
    for _ in range(2):
        fleet.add_replica(event=50)
    entry = fleet.add_entry()
    fleet.wait_ready()
    fleet.wait_version(1)
    harness.wait_for("a first stream", lambda: fleet.draft(
        entry, 0).status == 200)
    replies = []
    caller = threading.Thread(
        target=lambda: replies.append(fleet.draft(entry, 1, 40)))
    caller.start()
    running = []

    def find_running():
        running[:] = [replica for replica in fleet.replicas
                      if fleet.state(replica)["active"] > 0]
        return running

    harness.wait_for("the stream to run", find_running)
    time.sleep(0.2)
    cluster.processes[running[0]["name"]].kill()
    caller.join()
    assert replies[0].status == 200, replies[0].status
    assert replies[0].body == platform_fleet.events(40), replies[0].body


harness.run_case(body)
