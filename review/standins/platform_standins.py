"""Stand-ins for the users' platform, and a small deployment on loopback.

The store, the origin of weights, the replicas and the callers are threads of
the test's own process. The programs of the project run as separate processes, with
the commands of the deploy file and the settings that its templates give.
"""

import base64
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
HOST = "desk.example"
MODEL = "model-a"
# Bounds of the small deployments.
BOUNDS = {"stable_ms": 3000, "revoke_ms": 5000, "version_ms": 8000,
          "grace_s": 8, "retry_ratio": 0.2, "retry_slack": 104,
          "retry_window_s": 10}
HEARTBEAT_S = 1.2
# A case that takes longer is given up.
LONGEST_S = 110
STARTED = time.monotonic()


class CannotRun(Exception):
    """The case could not be played, so it shows nothing."""


class Record:
    """Writes what was sent, answered and run, a JSON object a line."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()
        self.events = []

    def add(self, what, **fields):
        event = dict(at=round(time.monotonic() - STARTED, 4), what=what,
                     **fields)
        with self.lock:
            self.events.append(event)
            self.file.write(json.dumps(event) + "\n")
            self.file.flush()
        return event

    def all(self, what):
        with self.lock:
            return [event for event in self.events if event["what"] == what]


class Request:
    """One HTTP request that was read whole."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.target = target
        self.query = dict(part.partition("=")[::2]
                          for part in query.split("&") if part)
        self.headers = headers
        self.body = body

    @property
    def id(self):
        return self.headers.get("x-verbenalead-request-id", "")


def read_head(file):
    """Returns the first line and the fields, or None at the end."""
    line = file.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = file.readline()
        if field in (b"\r\n", b"\n", b""):
            return line.decode("latin-1").rstrip("\r\n"), headers
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


def read_chunks(file):
    body = b""
    while True:
        size = int(file.readline().split(b";")[0], 16)
        if size == 0:
            while file.readline() not in (b"\r\n", b"\n", b""):
                pass
            return body
        piece = file.read(size)
        if len(piece) < size:
            raise ConnectionError("ended inside a chunk")
        body += piece
        file.readline()


class Server:
    """An HTTP/1.1 server. `handle(request, connection)` answers by respond()
    or by writing to the connection; it returns False to close it."""

    def __init__(self, address, handle):
        self.handle = handle
        self.address = address
        self.connections = set()
        self.listener = None
        self.open()

    def open(self):
        host, port = self.address.rsplit(":", 1)
        self.listener = socket.create_server((host, int(port)), backlog=256)
        threading.Thread(target=self.accept, args=(self.listener,),
                         daemon=True).start()

    def accept(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection,),
                             daemon=True).start()

    def serve(self, connection):
        try:
            file = connection.makefile("rb")
            while True:
                head = read_head(file)
                if head is None:
                    return
                line, headers = head
                method, target, _ = line.split(" ", 2)
                if "chunked" in headers.get("transfer-encoding", ""):
                    body = read_chunks(file)
                else:
                    body = file.read(int(headers.get("content-length", 0)))
                request = Request(method, target, headers, body)
                if self.handle(request, connection) is False:
                    return
        except (OSError, ValueError, ConnectionError):
            pass
        finally:
            self.connections.discard(connection)
            connection.close()

    def crash(self):
        """Stops listening and resets all connections."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in list(self.connections):
            reset(connection)


def reset(connection):
    """Closes the connection with a reset, also while threads use it."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              b"\x01\0\0\0\0\0\0\0")
        # Wakes a thread that reads, which would keep the connection open.
        connection.shutdown(socket.SHUT_RD)
        os.close(connection.detach())
    except OSError:
        pass


def respond(connection, status, body=b"", headers=None):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
    lines = ["HTTP/1.1 %d X" % status, "Content-Length: %d" % len(body)]
    lines += ["%s: %s" % item for item in (headers or {}).items()]
    connection.sendall("\r\n".join(lines + ["", ""]).encode() + body)


class Store:
    """The platform's metadata store."""

    def __init__(self, address):
        self.lock = threading.Condition()
        self.rows = {}
        self.log = []
        self.version = 0
        self.era = 1
        self.away = False
        # A second address, for the machines that the store turns away with 503
        # while `busy` is set.
        self.busy = False
        self.address = address
        self.second_address = "127.0.0.2:" + address.rsplit(":", 1)[1]
        self.server = Server(self.address, self.handle)
        self.second = Server(self.second_address, self.handle_second)

    def write(self, table, key, value, part=""):
        """Writes a row as the operator or a replica; returns its version."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        with self.lock:
            return self.apply([(table, part, key, text)])

    def remove(self, table, key, part=""):
        with self.lock:
            return self.apply([(table, part, key, None)])

    def apply(self, changes):
        self.version += 1
        for table, part, key, text in changes:
            row = {"table": table, "part": part, "key": key,
                   "ver": self.version}
            if text is None:
                self.rows.pop((table, part, key), None)
                row["deleted"] = True
            else:
                row["value"] = text
                self.rows[table, part, key] = row
            self.log.append(row)
        self.lock.notify_all()
        return self.version

    def copy(self):
        """Returns the copy from which come_back() starts."""
        with self.lock:
            return dict(self.rows), list(self.log), self.version

    def leave(self):
        """Is away: calls get no answer, and their connections stay silent."""
        with self.lock:
            self.away = True
            self.lock.notify_all()

    def come_back(self, copy):
        with self.lock:
            self.rows, self.log, self.version = \
                dict(copy[0]), list(copy[1]), copy[2]
            self.era += 1
            self.away = False

    def handle(self, request, connection, turned_away=lambda: False):
        era = self.era
        status, answer = 0, {}
        if not self.away:
            status, answer = self.answer(request, turned_away)
        if self.away or self.era != era:
            # The caller has to notice by itself that no answer comes.
            connection.recv(1)
            return False
        if turned_away():
            status, answer = 503, {}
        if isinstance(answer, dict):
            answer.setdefault("now_ms", round(time.monotonic() * 1000))
        respond(connection, status, answer,
                {"Content-Type": "application/json",
                 "Store-Era": str(self.era)})
        return True

    def handle_second(self, request, connection):
        """Like handle(), but turns calls away while `busy` is set."""
        return self.handle(request, connection, lambda: self.busy)

    def turn_away(self, busy):
        with self.lock:
            self.busy = busy
            self.lock.notify_all()

    def answer(self, request, turned_away):
        query = request.query
        if turned_away():
            return 503, {}
        if request.path == "/rows-tx":
            return self.transact(json.loads(request.body))
        with self.lock:
            if request.path == "/rows-get":
                rows = [row for (table, part, _), row
                        in sorted(self.rows.items())
                        if table == query["table"] and
                        part == query.get("part", "")]
                return 200, {"rows": rows, "has_more": False,
                             "ver": self.version}
            if request.path == "/rows-parts":
                parts = sorted({part for table, part, _ in self.rows
                                if table == query["table"]})
                return 200, {"parts": parts, "ver": self.version}
            if request.path == "/rows-feed":
                return self.feed(query, turned_away)
        return 404, {}

    def feed(self, query, turned_away):
        after = int(query["after_rev"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        era = self.era
        if after > self.version:
            return 410, {}
        while True:
            rows = {(row["part"], row["key"]): row for row in self.log
                    if row["table"] == query["table"] and row["ver"] > after}
            left = end - time.monotonic()
            if rows or left <= 0 or self.away or self.era != era or \
                    turned_away():
                return 200, {"rows": list(rows.values()), "ver": self.version}
            self.lock.wait(left)

    def transact(self, body):
        with self.lock:
            for row in body.get("precondition", []):
                found = self.rows.get(
                    (row["table"], row["part"], row["key"]))
                if (found["ver"] if found else 0) != row["ver"]:
                    return 412, {"rows": [], "ver": self.version}
            changes = [(row["table"], row["part"], row["key"], row["value"])
                       for row in body.get("writes", [])]
            changes += [(row["table"], row["part"], row["key"], None)
                        for row in body.get("remove", [])]
            if any(change[0] in ("op", "servers") for change in changes):
                return 403, {"ver": self.version}
            self.apply(changes)
            return 200, {"ver": self.version}


def piece(version, number, size):
    """The bytes of a piece of the weights."""
    return random.Random("%d/%d" % (version, number)).randbytes(size)


class Origin:
    """The service that has all weights."""

    def __init__(self, address, chunks, chunk_bytes):
        self.chunks = chunks
        self.chunk_bytes = chunk_bytes
        self.pieces = {}
        self.server = Server(address, self.handle)

    def bytes_of(self, version, number):
        key = version, number
        if key not in self.pieces:
            self.pieces[key] = piece(version, number, self.chunk_bytes)
        return self.pieces[key]

    def handle(self, request, connection):
        version = int(request.query.get("version", 1))
        if request.path.startswith("/manifest/"):
            digests = [hashlib.sha256(self.bytes_of(version, n)).hexdigest()
                       for n in range(self.chunks)]
            respond(connection, 200,
                    {"model": MODEL, "version": version, "layers": 16,
                     "chunk_bytes": self.chunk_bytes, "digests": digests},
                    {"Content-Type": "application/json"})
        elif request.path.startswith("/piece/"):
            respond(connection, 200,
                    self.bytes_of(version, int(request.query["num"])))
        else:
            respond(connection, 404)
        return True


class Replica:
    """A replica of a service: of a model if `origin` is given."""

    def __init__(self, fleet, name, service, address, zone, origin=None,
                 slots=16, event_s=0.05, load_s=0.3):
        self.fleet = fleet
        self.record = fleet.record
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.origin = origin
        self.slots = slots
        self.event_s = event_s
        self.load_s = load_s
        self.version = 1 if origin else 0
        self.staged = {}
        if origin:
            self.staged = {n: origin.bytes_of(1, n)
                           for n in range(origin.chunks)}
        self.lock = threading.Lock()
        self.active = 0
        self.generation = 0
        self.up = True
        # Called as hook(replica, request) after a call to an own interface.
        self.after_call = lambda replica, request: None
        # Called as hook(replica, order) when an order has been accepted.
        self.on_start = lambda replica, order: None
        self.answer = self.stream if origin else self.whole
        self.begin()
        self.server = Server(address, self.handle)
        threading.Thread(target=self.heartbeat, daemon=True).start()

    def begin(self):
        """Starts a new incarnation, under the id that it had."""
        self.generation += 1
        self.id = "i-" + self.name
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.busy = False
        self.active = 0

    def crash(self, back_after_s):
        """Crashes, as the replica's process would, and comes back."""
        with self.lock:
            if not self.up:
                return
            self.up = False
        self.record.add("crashed", replica=self.name, id=self.id)
        self.server.crash()
        threading.Timer(back_after_s, self.come_back).start()

    def come_back(self):
        self.version = 0
        self.begin()
        self.server.open()
        self.up = True
        self.write_row()

    def models(self):
        if not self.version:
            return []
        return [{"name": MODEL, "version": self.version, "adapters": []}]

    def write_row(self):
        row = {"service": self.service, "address": self.address,
               "zone": self.zone, "version": "1", "slots": self.slots,
               "state": "ready", "cold_left_ms": 0, "born": self.born,
               "sequence": self.sequence}
        if self.origin:
            row["models"] = self.models()
        try:
            self.fleet.store.write("servers", self.id, row)
        except OSError:
            pass

    def heartbeat(self):
        while True:
            if self.up and not self.fleet.store.away:
                self.write_row()
            time.sleep(HEARTBEAT_S)

    def handle(self, request, connection):
        path = request.path
        if path == "/report":
            respond(connection, 200, {
                "stage": "both", "models": self.models(), "busy": self.busy,
                "sequence": self.sequence, "queued": 0,
                "active": self.active, "born": self.born,
                "kv_used_tokens": 0, "kv_total_tokens": 1640000,
                "kv_handles": 0}, {"Content-Type": "application/json"})
        elif path.startswith("/stage-put/"):
            self.staged[int(request.query["num"])] = request.body
            respond(connection, 200)
        elif path.startswith("/stage-get/"):
            self.stage_get(request, connection)
        elif path == "/order":
            self.order(json.loads(request.body), connection)
        else:
            return self.call(request, connection)
        self.after_call(self, request)
        return True

    def stage_get(self, request, connection):
        if "num" not in request.query:
            respond(connection, 200, {"held": sorted(self.staged)})
            return
        found = self.staged.get(int(request.query["num"]))
        respond(connection, 404 if found is None else 200, found or b"")

    def order(self, order, connection):
        with self.lock:
            if self.busy or order.get("precondition",
                                      self.sequence) != self.sequence:
                respond(connection, 409, {})
                return
            self.sequence += 1
            self.busy = True
        wrong = [n for n in range(self.origin.chunks) if self.staged.get(n) !=
                 self.origin.bytes_of(order["version"], n)]
        self.record.add("order", replica=self.name, op=order["op"],
                        version=order["version"], spoilt_pieces=wrong)
        self.on_start(self, dict(order, wrong=wrong))
        self.version = 0
        threading.Timer(self.load_s, self.loaded, [order["version"]]).start()
        respond(connection, 202, {})

    def loaded(self, version):
        self.version = version
        self.busy = False
        self.write_row()

    def stamp(self, request):
        headers = {"X-Verbenalead-Request-Id": request.id,
                   "X-Verbenalead-Server-Stamp": "stamp." + self.id}
        if self.version:
            headers["X-Verbenalead-Weight-Versions"] = str(self.version)
        return headers

    def call(self, request, connection):
        self.record.add("reached", replica=self.name, call=request.id)
        expected = request.headers.get("x-verbenalead-expect-instance", self.id)
        if expected != self.id:
            respond(connection, 421, b"", {"X-Verbenalead-Not-Executed": "1"})
            return True
        if self.active >= self.slots or (self.origin and not self.version):
            respond(connection, 503, b"", {"X-Verbenalead-Not-Executed": "1"})
            return True
        with self.lock:
            self.active += 1
        generation = self.generation
        self.record.add("ran", replica=self.name, call=request.id,
                        version=self.version,
                        tenant=request.headers.get("x-verbenalead-tenant", ""))
        try:
            return self.answer(request, connection)
        finally:
            with self.lock:
                if generation == self.generation:
                    self.active -= 1

    def whole(self, request, connection):
        time.sleep(0.02)
        respond(connection, 200, b"ran " + request.target.encode(),
                self.stamp(request))
        return True

    def stream(self, request, connection):
        """Writes the events of a generation."""
        usage = request.headers.get("x-verbenalead-token-usage", "100,5")
        events = int(usage.split(",")[1])
        first = int(request.headers.get("last-event-id") or 0) + 1
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                 "Transfer-Encoding: chunked"]
        lines += ["%s: %s" % item for item in self.stamp(request).items()]
        connection.sendall("\r\n".join(lines + ["", ""]).encode())
        for number in range(first, events + 1):
            time.sleep(self.event_s)
            if self.busy:
                return False
            event = b"id: %d\ndata: token %d\n\n" % (number, number)
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            self.after_event(request, number)
        connection.sendall(b"0\r\n\r\n")
        return True

    def after_event(self, request, number):
        """Called when an event has been written."""


class Answer:
    """What a caller got; `complete`: the body ended as HTTP has it."""

    def __init__(self, status, headers, body, complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete


class Fleet:
    """A small deployment on loopback."""

    CHUNKS = 48
    CHUNK_BYTES = 49152

    def __init__(self, folder, services, routes):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.work = tempfile.mkdtemp(prefix="review-")
        self.processes = {}
        self.commands = {}
        self.entries = []
        self.replicas = []
        self.services = services
        self.routes = routes
        self.tenants = {"tenant-a": ["key-a"], "tenant-b": ["key-b"]}
        self.config_version = 0
        self.calls = 0
        self.lock = threading.Lock()
        ports = free_ports(8)
        self.front, self.readiness, self.directory, self.peers, \
            self.metrics, self.app = ports[:6]
        self.store = Store("127.0.0.1:%d" % ports[6])
        self.origin_address = "127.0.0.1:%d" % ports[7]
        self.origin = Origin(self.origin_address, self.CHUNKS,
                             self.CHUNK_BYTES)

    def configure(self):
        """Writes the next configuration; returns when it was acknowledged."""
        self.config_version += 1
        engine = {"slots": 16, "stride": 6, "step_ms": 6.73, "chunk": 2048,
                  "read_per_s": 30600.0, "chunks": self.CHUNKS,
                  "chunk_bytes": self.CHUNK_BYTES,
                  "models": [{"name": MODEL, "warm_s": 0.3}]}
        services = [dict({"name": name, "max_conns": 110},
                         **({"engine": engine} if is_model else {}))
                    for name, is_model in self.services.items()]
        services.append({"name": "weights", "origin": self.origin_address,
                         "link_mbps": 15.0, "max_conns": 48})
        self.store.write("op", "config", {
            "version": self.config_version, "routes": self.routes,
            "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
            "tenants": [{"name": name, "api_keys": keys}
                        for name, keys in self.tenants.items()]})
        self.record.add("configured", version=self.config_version,
                        tenants=self.tenants)
        return time.monotonic()

    def declare(self, version):
        self.store.write("op", "version/" + MODEL,
                         {"model": MODEL, "version": version})
        self.record.add("declared", version=version)

    def start(self, name, program, settings):
        path = os.path.join(self.work, name + ".json")
        with open(path, "w") as file:
            json.dump(settings, file, indent=1)
        self.commands[name] = [os.path.join(ROOT, "target", "src", program),
                               "--platform", "-s", path]
        self.launch(name)

    def launch(self, name):
        log = open(os.path.join(self.work, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(
            self.commands[name], stdout=log, stderr=log, cwd=ROOT)

    def signal(self, name, number):
        process = self.processes[name]
        if process.poll() is None:
            os.kill(process.pid, number)
        self.record.add("signal", process=name,
                        signal=signal.Signals(number).name)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def add_entry(self, zone, store=None):
        number = len(self.entries) + 1
        ip = "127.0.1.%d" % number
        name = "edge-%d" % number
        self.start(name, "vlentry", {
            "host": name, "data_center": zone,
            "listen": {"callers": "%s:%d" % (ip, self.front),
                       "readiness": "%s:%d" % (ip, self.readiness),
                       "directory": "%s:%d" % (ip, self.directory),
                       "peers": "%s:%d" % (ip, self.peers),
                       "metrics": "%s:%d" % (ip, self.metrics)},
            "store": {"address": store or self.store.address},
            "bounds": {"strict_keys": True, "keys": BOUNDS["revoke_ms"],
                       "weights": BOUNDS["version_ms"],
                       "stop": BOUNDS["grace_s"]},
            "repeats": {"ratio": BOUNDS["retry_ratio"],
                        "slack": BOUNDS["retry_slack"],
                        "window": BOUNDS["retry_window_s"]},
            "regions": ["a=r-a", "b=r-b", "c=r-c"]})
        self.entries.append((name, ip))

    def add_replica(self, service, zone, **options):
        number = len(self.replicas) + 1
        ip = "127.0.2.%d" % number
        name = "app-%d" % number
        is_model = self.services[service]
        replica = Replica(self, name, service, "%s:%d" % (ip, self.app), zone,
                          self.origin if is_model else None, **options)
        replica.target = "side-%d" % number
        if is_model:
            self.start(replica.target, "vltarget", {
                "host": replica.target, "data_center": zone,
                "service": service, "engine": replica.address,
                "listen": {"peers": "%s:%d" % (ip, self.peers),
                           "metrics": "%s:%d" % (ip, self.metrics)},
                "store": {"address": self.store.address}, "link": 9.4,
                "bounds": {"weights": BOUNDS["version_ms"]},
                "weights": {"origin_outages": True, "min_copy_share": 0.25}})
        self.replicas.append(replica)
        return replica

    def is_ready(self, entry):
        try:
            return ask("%s:%d" % (entry[1], self.readiness), "GET",
                       "/readyz", {}).status == 200
        except OSError:
            return False

    def wait_ready(self, timeout=20):
        end = time.monotonic() + timeout
        for entry in self.entries:
            while not self.is_ready(entry):
                if time.monotonic() > end:
                    raise CannotRun(entry[0] + " is not ready")
                time.sleep(0.05)

    def call(self, entry, method, path, headers=None, body=b"", key="key-a",
             deadline_ms=6000, name=None):
        """Sends one call as a client does, and records it."""
        with self.lock:
            self.calls += 1
            call = name or "call-%d" % self.calls
        fields = {"Host": HOST, "X-Verbenalead-Request-Id": call,
                  "X-Verbenalead-Deadline-Ms": str(deadline_ms),
                  "Api-Key": key}
        fields.update(headers or {})
        self.record.add("sent", call=call, path=path, key=key,
                        entry=self.entries[entry][0])
        try:
            answer = ask("%s:%d" % (self.entries[entry][1], self.front),
                         method, path, fields, body, deadline_ms / 1000 + 1)
        except OSError as failure:
            self.record.add("answered", call=call, status=0,
                            failure=repr(failure))
            return Answer(0, {}, b"", False)
        self.record.add("answered", call=call, status=answer.status,
                        complete=answer.complete, bytes=len(answer.body),
                        stamp=answer.headers.get("x-verbenalead-server-stamp"))
        return answer

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()


def ask(address, method, path, headers, body=b"", timeout=5):
    """Sends one request over a new connection."""
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), 1) as connection:
        connection.settimeout(timeout)
        lines = ["%s %s HTTP/1.1" % (method, path)]
        fields = dict({"Host": address}, **headers)
        if body or method not in ("GET", "HEAD"):
            fields["Content-Length"] = len(body)
        lines += ["%s: %s" % item for item in fields.items()]
        connection.sendall("\r\n".join(lines + ["", ""]).encode() + body)
        file = connection.makefile("rb")
        head = read_head(file)
        if head is None:
            raise ConnectionError("closed without an answer")
        status = int(head[0].split(" ")[1])
        try:
            if "chunked" in head[1].get("transfer-encoding", ""):
                return Answer(status, head[1], read_chunks(file), True)
            length = int(head[1].get("content-length", 0))
            data = file.read(length)
            return Answer(status, head[1], data, len(data) == length)
        except (OSError, ValueError, ConnectionError):
            return Answer(status, head[1], b"", False)


def free_ports(count):
    """Ports that are free on loopback, below the range of ephemeral ones."""
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(10000, 32000)
        with socket.socket() as each:
            try:
                each.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def route(name, service, kind, **fields):
    return dict({"name": name, "host": HOST, "prefix": "/%s/" % name,
                 "service": service, "route_kind": kind, "timeout_ms": 6000,
                 "slo_ms": 400, "priority": 1, "max_attempts": 1}, **fields)


def main(folder, play, trouble):
    """Plays a case, ends all that it started, and exits: with 1 if the rule was
    broken, 0 if it held, 2 if the case could not run.

    `play(folder, trouble, fleets)` adds each fleet that it makes to `fleets`, and
    returns a line for each break of the rule.
    """
    fleets = []
    ending = threading.Lock()

    def end(code):
        if not ending.acquire(blocking=False):
            return  # It ends already.
        for fleet in fleets:
            fleet.stop()
            if os.environ.get("KEEP"):
                print(fleet.work)
            else:
                shutil.rmtree(fleet.work, ignore_errors=True)
        sys.stdout.flush()
        os._exit(code)

    def give_up(*_):
        print("could not run: it was stopped, or took too long")
        end(2)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, give_up)
    watchdog = threading.Timer(LONGEST_S, give_up)
    watchdog.daemon = True
    watchdog.start()
    code = 2
    try:
        broken = play(folder, trouble, fleets)
        code = 1 if broken else 0
        for line in broken[:20]:
            print("broken: " + line)
        print("the rule was broken" if broken else "the rule held")
    except Exception as failure:  # Whatever stops the case: it shows nothing.
        print("could not run: %r" % failure)
        if not isinstance(failure, CannotRun):
            traceback.print_exc()
    end(code)
