"""A caller keeps its connection open while the entry stops.

Its call would be cut off if the entry exited at once, since calls arrive for as
long as callers may cache the entry's address. After that time the entry closes
the idle connection, so that the caller connects to another entry. A request
that crosses the close is refused as not run, and a response under way is
completed.
"""

import socket
import threading
import time

import harness
import platform_fleet

# Seconds for which callers may use an address: three times the time to live of
# 1 s with which the entry announces it.
ADDRESSES_HOLD = 3.0


class KeptConnection:
    """A connection that stays open after a response."""

    def __init__(self, entry):
        host, port = entry["callers"].rsplit(":", 1)
        self.socket = socket.create_connection((host, int(port)), timeout=20)

    def send_first_part(self, number):
        headers = platform_fleet.PlatformFleet.headers(
            "kept-%d" % number, platform_fleet.KEY)
        lines = ["POST /pay/%d HTTP/1.1" % number, "Content-Length: 3"]
        lines += ["%s: %s" % pair for pair in headers.items()]
        self.socket.sendall("\r\n".join(lines).encode())

    def send_last_part(self):
        self.socket.sendall(b"\r\n\r\nfee")

    def read(self):
        """Returns the next bytes; empty if the connection was closed."""
        return self.socket.recv(65536)

    def pay(self, number):
        self.send_first_part(number)
        self.send_last_part()
        return self.read()


def body(cluster):
    fleet = platform_fleet.PlatformFleet(cluster)
    fleet.start_platform()
    replica = fleet.add_replica(event=100)
    ledger = fleet.add_replica(service="ledger", model="")
    leaving = fleet.add_entry()
    fleet.wait_ready()
    fleet.wait_version(0)
    harness.wait_for("a first payment", lambda: fleet.pay(
        leaving, 0).status == 200)
    harness.wait_for("a first stream", lambda: fleet.draft(
        leaving, 0, 1).status == 200)
    idle, crossing = KeptConnection(leaving), KeptConnection(leaving)
    for number, connection in enumerate([idle, crossing]):
        assert b" 200 " in connection.pay(number + 1)
    replies = []
    caller = threading.Thread(
        target=lambda: replies.append(fleet.draft(leaving, 1, 50)))
    caller.start()
    harness.wait_for("the stream to run",
                     lambda: fleet.state(replica)["active"] == 1)
    process = cluster.processes[leaving["name"]]
    process.send(harness.signal.SIGTERM)
    stopping = time.monotonic()
    crossing.send_first_part(3)
    assert idle.read() == b"", "more than the end of a connection came"
    took = time.monotonic() - stopping
    assert ADDRESSES_HOLD - 0.5 < took < ADDRESSES_HOLD + 0.2, took
    time.sleep(max(0, ADDRESSES_HOLD - took))
    runs = fleet.state(ledger)["runs"]
    crossing.send_last_part()
    answer = crossing.read()
    assert b" 503 " in answer and b"not run" in answer, answer
    assert fleet.state(ledger)["runs"] == runs
    caller.join()
    assert replies[0].body == platform_fleet.events(50), replies[0].body
    assert process.child.wait(20) == 0


harness.run_case(body)
