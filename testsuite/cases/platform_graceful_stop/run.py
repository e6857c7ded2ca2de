"""An entry is stopped in the middle of a stream.

The caller gets its complete response, the entry reports that it is not ready
and directs callers to the other entry, and then it exits.
"""

import threading

import harness
import platform_fleet


def body(cluster):
    fleet = platform_fleet.PlatformFleet(cluster)
    fleet.start_platform()
    replica = fleet.add_replica(event=100)
    leaving = fleet.add_entry()
    staying = fleet.add_entry()
    fleet.wait_ready()
    fleet.wait_version(1)
    harness.wait_for("a first stream", lambda: fleet.draft(
        leaving, 0, 1).status == 200)
    replies = []
    caller = threading.Thread(
        target=lambda: replies.append(fleet.draft(leaving, 1, 30)))
    caller.start()
    harness.wait_for("the stream to run",
                     lambda: fleet.state(replica)["active"] == 1)
    process = cluster.processes[leaving["name"]]
    process.send(harness.signal.SIGTERM)
    harness.wait_for("the entry to say that it leaves",
                     lambda: not fleet.ready(leaving))
    harness.wait_for("the other entry to know", lambda: harness.call(
        staying["directory"], "GET", "/resolve?name=h&zone=a").json()[
            "addresses"] == [staying["callers"]])
    caller.join()
    assert replies[0].body == platform_fleet.events(30), replies[0].body
    assert process.child.wait(20) == 0


harness.run_case(body)
