"""A replica of a plain service that gives answers of a set length.

It registers in the store as PROTOCOL.md says, and answers each request with its
id, a signature and a body, whole.
"""

import base64
import json
import socket
import threading
import time

import harness

HEARTBEAT_S = 0.3


class PlainReplica:
    def __init__(self, fleet, replica_id, address, service, answer, record,
                 status_of=lambda call: "200 OK", work_s=0):
        self.fleet = fleet
        self.replica_id = replica_id
        self.address = address
        self.service = service
        self.answer = answer
        # The status with which the run of a call ends.
        self.status_of = status_of
        self.work_s = work_s
        self.record = record
        self.born = int(time.time() * 1000)
        self.ran = []
        # Calls whose whole answer was taken by the caller's side.
        self.answered = []
        host, port = address.rsplit(":", 1)
        self.listener = socket.create_server((host, int(port)))
        for work in (self.accept, self.register):
            threading.Thread(target=work, daemon=True).start()

    def register(self):
        row = {"service": self.service, "address": self.address, "zone": "a",
               "version": "v1", "slots": 6, "state": "ready",
               "cold_left_ms": 0, "born": self.born, "sequence": 0}
        write = {"table": "servers", "part": "", "key": self.replica_id,
                 "value": base64.b64encode(json.dumps(row).encode()).decode()}
        while True:
            try:
                harness.call(self.fleet.store, "POST", "/rows-tx",
                             {"precondition": [], "writes": [write],
                              "remove": []}, timeout=2)
            except OSError:
                pass
            time.sleep(HEARTBEAT_S)

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,),
                             daemon=True).start()

    def serve(self, connection):
        with connection:
            try:
                self.answer_one(connection)
            except OSError as error:
                self.record.add("%s: %s", self.replica_id, error)

    def answer_one(self, connection):
        data = b""
        while b"\r\n\r\n" not in data:
            piece = connection.recv(65536)
            if not piece:
                return
            data += piece
        head, _, body = data.partition(b"\r\n\r\n")
        fields = {}
        for line in head.decode().split("\r\n")[1:]:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        while len(body) < int(fields.get("content-length", "0")):
            piece = connection.recv(65536)
            if not piece:
                return
            body += piece
        call = fields.get("x-verbenalead-request-id", "")
        if fields.get("x-verbenalead-expect-instance",
                      self.replica_id) != self.replica_id:
            connection.sendall(b"HTTP/1.1 421 Misdirected Request\r\n"
                               b"Content-Length: 0\r\n\r\n")
            return
        self.ran.append(call)
        self.record.add("%s runs %s", self.replica_id, call)
        time.sleep(self.work_s)
        connection.sendall((
            "HTTP/1.1 %s\r\nX-Verbenalead-Request-Id: %s\r\n"
            "X-Verbenalead-Server-Stamp: stamp-of-%s\r\n"
            "Connection: close\r\nContent-Length: %d\r\n\r\n" % (
                self.status_of(call), call, self.replica_id,
                len(self.answer))).encode())
        connection.sendall(self.answer)
        self.answered.append(call)
        self.record.add("%s: the answer to %s has been taken whole",
                        self.replica_id, call)
