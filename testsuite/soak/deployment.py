"""The deployment under soak: real programs that are connected by relays."""

import collections

import harness
import platform_fleet

GUEST_KEY = "key-of-guest"
REGIONS = ["a=east", "b=west"]
# The kinds of calls, with their services.
SERVICES = {"draft": "pool", "pay": "ledger"}
# Calls that only the region `east` may serve, and its data centres.
EAST = {"east": ("a",)}
# Longest time in seconds for which calls with a removed key may still run after
# the removal was acknowledged.
KEY_BOUND = 5.0


# Numbers of entries, engines, replicas of the plain service, callers and slots
# of an engine; time between two events of a stream in ms.
Size = collections.namedtuple("Size", "entries engines plain callers slots event")
SMALL = Size(3, 4, 2, 6, 8, 8)
# More callers than an engine has slots, so that calls have to wait.
FULL = Size(3, 4, 2, 24, 4, 40)


class Deployment(platform_fleet.PlatformFleet):
    """Entries and replicas in two data centres.

    Each entry and each target process connects to the store through a relay of
    its own, and each replica is reached through one. `relays` maps the name of
    such a process to the command address of its relay.
    """

    # In seconds; short, as a write into a store that hangs delays the faults
    # that are due after it.
    WRITE_TIMEOUT = 0.5

    def __init__(self, cluster, size=SMALL):
        super().__init__(cluster)
        self.size = size
        self.relays = {}
        self.services = dict(SERVICES)
        self.entry_settings = {}
        # Data centres by kinds of calls that may not go to all.
        self.allowed = {}
        self.guest_keys = [GUEST_KEY]

    def restrict_regions(self):
        """Adds a route that only one region may serve, and its calls."""
        self.services["east"] = "ledger"
        self.allowed = EAST
        self.entry_settings = {"regions": REGIONS}

    def next_configuration(self):
        config = super().next_configuration()
        if self.allowed:
            config["routes"].append(
                {"name": "east", "prefix": "/east/", "host": "h",
                 "service": "ledger", "route_kind": "unsafe",
                 "max_attempts": 1, "timeout_ms": 20000, "slo_ms": 1000,
                 "priority": 1, "regions_allowed": ["east"]})
        return config

    def conditions(self, table, key):
        """Requires that the row still has its present revision.

        A write that timed out may still take effect. Without this condition it
        could overwrite a later one.
        """
        rows = harness.call(
            self.store, "GET", "/rows-get?table=%s&part=" % table,
            timeout=self.WRITE_TIMEOUT).json()["rows"]
        found = [row["ver"] for row in rows if row["key"] == key]
        return [{"table": table, "part": "", "key": key,
                 "ver": found[0] if found else 0}]

    def store_for(self, name):
        return self.add_relay(name, None, self.store)

    def listen_for(self, name, address):
        host, port = address.rsplit(":", 1)
        behind = "127.0.3.%s:%s" % (host.rsplit(".", 1)[1], port)
        self.add_relay(name, address, behind)
        return behind

    def add_relay(self, name, address, forward):
        command, port = ["127.0.0.1:%d" % port
                         for port in harness.free_ports(2)]
        address = address or port
        self.cluster.start(name + "-relay", "standin_relay",
                           {"listen": command, "relay": address,
                            "forward": forward})
        self.cluster.wait_listening(command)
        self.relays[name] = command
        return address

    def start(self):
        self.start_platform()
        for data_center in self.spread(self.size.engines):
            self.add_replica(data_center=data_center, slots=self.size.slots,
                             event=self.size.event)
        for data_center in self.spread(self.size.plain):
            self.add_replica("ledger", "", data_center=data_center, work=30)
        for data_center in self.spread(self.size.entries):
            self.add_entry(data_center, **self.entry_settings)
        self.wait_ready()
        self.serve_all("at the start")

    def serve_all(self, when):
        """Waits until each entry serves streams and payments."""
        for number, entry in enumerate(self.entries):
            harness.wait_for(
                "%s to serve streams %s" % (entry["name"], when),
                lambda: self.answers(self.draft, entry, "s%d" % number))
            harness.wait_for(
                "%s to serve payments %s" % (entry["name"], when),
                lambda: self.answers(self.pay, entry, "p%d" % number))

    @staticmethod
    def spread(count):
        """Data centres of `count` processes: half in a, the rest in b."""
        return ["a" if number < (count + 1) // 2 else "b"
                for number in range(count)]

    @staticmethod
    def answers(call, entry, number):
        try:
            return call(entry, number).status == 200
        except OSError:
            return False

    def draft(self, entry, number, events=5, key=platform_fleet.KEY):
        return harness.call(
            entry["callers"], "POST", "/draft/x", "prompt",
            self.headers("draft-%s" % number, key,
                         {"X-Verbenalead-Token-Usage": "100,%d" % events}))

    def pay(self, entry, number, key=platform_fleet.KEY):
        return harness.call(entry["callers"], "POST", "/pay/x", "fee",
                            self.headers("pay-%s" % number, key))

    def programs(self):
        """Names of the processes under test: entries and targets."""
        return [entry["name"] for entry in self.entries] + [
            replica["target"] for replica in self.replicas
            if replica["target"] in self.cluster.processes]
