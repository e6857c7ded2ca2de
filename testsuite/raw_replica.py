"""A replica that answers each call with the bytes that a case sets."""

import time

import junk_replica


class RawReplica(junk_replica.JunkReplica):
    """Listens on `address`; the case sets what the next calls get."""

    def __init__(self, address):
        # The answer; %s in it stands for the id of the call.
        self.text = ""
        # Whether it closes the connection after the answer.
        self.closes = False
        # Seconds between the call and the answer.
        self.delay = 0
        # Ids of the calls that arrived.
        self.calls = []
        super().__init__(address, None)

    def answer(self, connection, request_id):
        self.calls.append(request_id)
        text, closes = self.text, self.closes
        time.sleep(self.delay)
        connection.sendall(text.replace("%s", request_id).encode())
        connection.settimeout(1)
        while not closes and connection.recv(4096):
            pass


def register(fleet, replica_id, service, model, address):
    """Writes the row of a replica with version 1 of `model`; "": of none."""
    row = {"service": service, "address": address, "zone": "a",
           "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
           "born": 1, "sequence": 0}
    if model:
        row["models"] = [{"name": model, "version": 1, "adapters": []}]
    fleet.write("servers", replica_id, row)
