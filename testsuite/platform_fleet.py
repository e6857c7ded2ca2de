"""Entries, target processes and stand-ins of the users' platform on loopback.

Each host has its own IP address in 127.0.0.0/8, because all target processes
listen on the same port, at the addresses of their replicas' hosts.
"""

import base64
import json
import os

import harness

KEY = "key-of-acme"
# Rows of a page of the store. With STORE_PAGE_ROWS=1 any case reads its tables
# row by row.
PAGE_ROWS = int(os.environ.get("STORE_PAGE_ROWS", "500"))


class PlatformFleet:
    """A small deployment whose processes `cluster` starts and ends."""

    # Timeout of a write into the store, in seconds.
    WRITE_TIMEOUT = 30

    def __init__(self, cluster):
        self.cluster = cluster
        ports = harness.free_ports(8)
        self.store = "127.0.0.1:%d" % ports[0]
        self.origin = "127.0.0.1:%d" % ports[1]
        self.peer_port, self.caller_port, self.ready_port, \
            self.directory_port, self.replica_port, self.metrics_port = ports[2:]
        self.entries = []
        self.replicas = []
        self.replicas_started = 0
        self.version = 0
        self.keys = [KEY]
        self.guest_keys = []
        # Number of additional routes, to which no calls are sent.
        self.more_routes = 0
        # Fields that the configuration has for each service with replicas, and
        # settings of all entries and target processes.
        self.service_fields = {}
        self.common_settings = {}

    def store_for(self, name):
        """Address at which the process `name` connects to the store."""
        return self.store

    def listen_for(self, name, address):
        """Address on which the replica `name` listens.

        Its clients connect to `address`, which differs behind a relay.
        """
        return address

    def start_platform(self):
        self.cluster.start("store", "standin_platform_store",
                           {"listen": self.store, "page_rows": PAGE_ROWS})
        self.cluster.start("origin", "standin_platform_origin",
                           {"listen": self.origin})
        self.cluster.wait_listening(self.store)
        self.cluster.wait_listening(self.origin)
        self.configure()

    @staticmethod
    def row(table, key, value, part=""):
        return {"table": table, "part": part, "key": key,
                "value": base64.b64encode(
                    json.dumps(value).encode()).decode()}

    def write(self, table, key, value, part=""):
        self.change(table, key, [self.row(table, key, value, part)], [])

    def remove(self, table, key):
        self.change(table, key, [],
                    [{"table": table, "part": "", "key": key}])

    def change(self, table, key, writes, removed):
        reply = harness.call(self.store, "POST", "/rows-tx",
                             {"precondition": self.conditions(table, key),
                              "writes": writes,
                              "remove": removed}, timeout=self.WRITE_TIMEOUT)
        assert reply.status == 200, reply.status

    def conditions(self, table, key):
        """Preconditions of a write to the row `key` of `table`."""
        return []

    def configure(self):
        """Writes a new version of the configuration with the current keys."""
        self.write("op", "config", self.next_configuration())

    def next_configuration(self):
        self.version += 1
        engine = {"slots": 8, "stride": 1, "step_ms": 1.0,
                  "read_per_s": 30000.0, "chunks": 12, "chunk_bytes": 4096,
                  "models": [{"name": "model", "warm_s": 0.05}]}
        common = {"host": "h", "timeout_ms": 20000, "slo_ms": 1000,
                  "priority": 1}
        routes = [
            dict(common, name="draft", prefix="/draft/", service="pool",
                 route_kind="streaming", max_attempts=3, resumable=True),
            dict(common, name="pay", prefix="/pay/", service="ledger",
                 route_kind="unsafe", max_attempts=1),
            dict(common, name="look", prefix="/look/", service="ledger",
                 route_kind="safe", max_attempts=2, slo_ms=200)]
        routes += [dict(common, name="more-%d" % number,
                        prefix="/more/%d/" % number, service="pool",
                        route_kind="streaming", max_attempts=2)
                   for number in range(self.more_routes)]
        return {
            "version": self.version, "routes": routes,
            "services": [
                dict(self.service_fields, name="pool", engine=engine),
                dict(self.service_fields, name="ledger"),
                {"name": "weights", "origin": self.origin,
                 "link_mbps": 100.0}],
            "tenants": [{"name": "acme", "api_keys": self.keys},
                        {"name": "guest", "api_keys": self.guest_keys}]}

    def declare(self, version):
        self.write("op", "version/model",
                   {"model": "model", "version": version})

    def add_entry(self, data_center="a", **extra):
        number = len(self.entries) + 1
        ip = "127.0.1.%d" % number
        name = "entry-%d" % number
        entry = {"name": name,
                 "callers": "%s:%d" % (ip, self.caller_port),
                 "readiness": "%s:%d" % (ip, self.ready_port),
                 "directory": "%s:%d" % (ip, self.directory_port),
                 "metrics": "%s:%d" % (ip, self.metrics_port)}
        settings = {"host": name, "data_center": data_center,
                    "listen": {
                        "callers": entry["callers"],
                        "readiness": entry["readiness"],
                        "directory": entry["directory"],
                        "metrics": entry["metrics"],
                        "peers": "%s:%d" % (ip, self.peer_port)},
                    "store": {"address": self.store_for(name)}}
        settings.update(self.common_settings)
        settings.update(extra)
        self.cluster.start_platform_program(name, "vlentry", settings)
        self.entries.append(entry)
        return entry

    def add_replica(self, service="pool", model="model", version=0,
                    data_center="a", target_settings=None, **extra):
        self.replicas_started += 1
        number = self.replicas_started
        ip = "127.0.2.%d" % number
        name = "replica-%d" % number
        replica = {"name": name, "target": "target-%d" % number,
                   "service": service,
                   "address": "%s:%d" % (ip, self.replica_port)}
        settings = {"id": "i-%d" % number, "service": service,
                    "model": model, "data_center": data_center,
                    "listen": self.listen_for(name, replica["address"]),
                    "announce": replica["address"],
                    "store": self.store, "version": version}
        settings.update(extra)
        self.cluster.start(name, "standin_platform_replica", settings)
        # The replica registers when it gets its first request.
        harness.wait_for(name + " to answer",
                         lambda: self.answers_at_all(replica))
        if model:
            target = dict(
                self.common_settings,
                host=replica["target"], data_center=data_center,
                service=service, engine=replica["address"],
                listen={"peers": "%s:%d" % (ip, self.peer_port)},
                store={"address": self.store_for(replica["target"])})
            target.update(target_settings or {})
            self.cluster.start_platform_program(
                replica["target"], "vltarget", target)
        self.replicas.append(replica)
        return replica

    def state(self, replica):
        return harness.call(replica["address"], "GET", "/state").json()

    def arrivals(self, replica):
        """Times (ms of the monotonic clock) at which calls arrived."""
        return harness.call(replica["address"], "GET", "/arrivals").json()

    def name_limit(self, replica, text):
        """Sets the rate limit that the answers of `replica` name; "": none."""
        harness.call(replica["address"], "POST", "/limit", text)

    def make_cold(self, replica, milliseconds):
        """Makes `replica` cold for this long, counted from now."""
        harness.call(replica["address"], "POST", "/cold", str(milliseconds))

    def call_log(self, replica):
        """Calls that arrived, with what the answer to each stated."""
        return harness.call(replica["address"], "GET", "/call-log").json()

    def say_leaving(self, replica, text="1"):
        """Makes the answers of `replica` state that it is leaving."""
        harness.call(replica["address"], "POST", "/leaving", text)

    def leave(self, replica):
        """Makes `replica` leave by its row in the store alone."""
        harness.call(replica["address"], "POST", "/leave", "")

    def set_page(self, rows):
        """Makes answers of the store hold at most `rows` rows."""
        harness.call(self.store, "POST", "/page", str(rows))

    def store_requests(self):
        """Requests to the store by path since the last question; those whose
        target was malformed count as "malformed" as well."""
        return harness.call(self.store, "GET", "/stats").json()

    def drill(self, **parts):
        """The store is away for a moment and comes back from an older copy."""
        return harness.call(self.store, "POST", "/drill", parts).json()

    def ask_rest(self, replica, text):
        """Makes `replica` turn all calls away and ask for a rest; "": none."""
        harness.call(replica["address"], "POST", "/rest", text)

    def fail_runs(self, replica, status, percent):
        """Makes `replica` end this share of its runs with `status`."""
        harness.call(replica["address"], "POST", "/fail",
                     "%d %d" % (status, percent))

    def cut_calls(self, replica, percent):
        """Makes `replica` close this share of the calls without an answer."""
        harness.call(replica["address"], "POST", "/cut", str(percent))

    def answers_at_all(self, replica):
        try:
            return self.state(replica)["runs"] >= 0
        except OSError:
            return False

    def ready(self, entry):
        try:
            return harness.call(entry["readiness"], "GET",
                                "/readyz").status == 200
        except OSError:
            return False

    def wait_ready(self):
        for entry in self.entries:
            harness.wait_for(entry["name"] + " to be ready",
                             lambda: self.ready(entry))

    def wait_version(self, version):
        self.wait_version_on(self.replicas, version)

    def wait_version_on(self, replicas, version):
        for replica in replicas:
            harness.wait_for(
                "version %d on %s" % (version, replica["name"]),
                lambda: self.state(replica)["version"] == version)

    def draft(self, entry, number, events=5, key=KEY):
        return harness.call(
            entry["callers"], "POST", "/draft/%d" % number, "prompt",
            self.headers("draft-%d" % number, key,
                         {"X-Verbenalead-Token-Usage": "100,%d" % events}))

    def pay(self, entry, number, key=KEY):
        return harness.call(entry["callers"], "POST", "/pay/%d" % number,
                            "fee", self.headers("pay-%d" % number, key))

    def look(self, entry, number, key=KEY):
        return harness.call(entry["callers"], "GET", "/look/%d" % number,
                            headers=self.headers("look-%d" % number, key))

    @staticmethod
    def headers(call, key, extra=None):
        headers = {"Host": "h", "Api-Key": key,
                   "X-Verbenalead-Request-Id": call,
                   "X-Verbenalead-Deadline-Ms": "20000"}
        headers.update(extra or {})
        return headers


def events(count):
    """The body of a complete stream of `count` events."""
    return "".join("id: %d\ndata: token %d\n\n" % (number, number)
                   for number in range(1, count + 1)).encode()
