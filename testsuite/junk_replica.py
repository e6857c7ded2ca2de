"""A replica that sends bytes that are no answer, without end."""

import itertools
import socket
import threading

PIECE = b"x" * 16384
# Bytes after which the connection is closed, so that a client that reads all of
# them can't fill the machine.
MOST_BYTES = 400 << 20
HEAD = ("HTTP/1.1 200 OK\r\nX-Verbenalead-Request-Id: %s\r\n"
        "X-Verbenalead-Server-Stamp: junk\r\n")
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"

# What is sent after the head, by the name of the case: the rest of the head, and
# the piece that is repeated.
KINDS = {
    "length": ("Content-Length: 1000000000000\r\n\r\n", PIECE),
    "chunks": ("Transfer-Encoding: chunked\r\n\r\n",
               b"4000\r\n" + PIECE + b"\r\n"),
    "neither": ("Connection: close\r\n\r\n", PIECE),
    "extension": ("Transfer-Encoding: chunked\r\n\r\n5;", PIECE),
    "trailers": ("Transfer-Encoding: chunked\r\n\r\n0\r\n", b"a: b\r\n" * 2048),
    "head": ("", b"a: b\r\n" * 2048),
    "line": ("a: ", PIECE),
    "interim": (None, INTERIM * 512)}


class JunkReplica:
    """Listens on `address`; `kind` tells what each connection gets."""

    def __init__(self, address, kind):
        host, port = address.rsplit(":", 1)
        self.kind = kind
        self.sent = 0
        self.listener = socket.create_server((host, int(port)))
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,),
                             daemon=True).start()

    def serve(self, connection):
        try:
            with connection:
                self.answer(connection, self.read_request_id(connection))
        except OSError:
            pass

    @staticmethod
    def read_request_id(connection):
        """Reads a request with its body; returns its id, "" if it has none."""
        request = b""
        while b"\r\n\r\n" not in request:
            piece = connection.recv(4096)
            if not piece:
                return ""
            request += piece
        head, _, body = request.partition(b"\r\n\r\n")
        fields = {}
        for line in head.decode(errors="replace").split("\r\n"):
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        missing = int(fields.get("content-length", "0")) - len(body)
        while missing > 0:
            piece = connection.recv(4096)
            if not piece:
                return ""
            missing -= len(piece)
        return fields.get("x-verbenalead-request-id", "")

    def answer(self, connection, request_id):
        rest, piece = KINDS[self.kind]
        if rest is not None:
            connection.sendall((HEAD % request_id + rest).encode())
        for _ in itertools.count():
            connection.sendall(piece)
            self.sent += len(piece)
            if self.sent > MOST_BYTES:
                return
