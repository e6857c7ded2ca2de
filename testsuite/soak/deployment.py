"""The deployment that the soak runs: real programs, with relays between them."""

import collections

import harness
import platform_fleet

GUEST_KEY = "key-of-guest"
# A removed key may run for so long after the removal was acknowledged.
KEY_BOUND = 5.0


# Entries, engines and plain services, callers, places of an engine, time
# between two events in ms.
Size = collections.namedtuple("Size", "entries engines plain callers slots event")
SMALL = Size(3, 4, 2, 6, 8, 8)
# More callers than places.
FULL = Size(3, 4, 2, 24, 4, 40)


class Deployment(platform_fleet.PlatformFleet):
    """Entries and replicas in two data centres.

    Each entry and target reaches the store by a relay of its own, and each
    replica is reached by one. `relays` holds where they take commands, by the
    name of the process behind which, or before which, they stand.
    """

    # Faults that are due must not wait behind a store that hangs.
    WRITE_TIMEOUT = 0.5

    def __init__(self, cluster, size=SMALL):
        super().__init__(cluster)
        self.size = size
        self.relays = {}
        self.guest_keys = [GUEST_KEY]

    def conditions(self, table, key):
        """The row must be as it is now: a write that was given up may still
        take effect, and must not undo a later one."""
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
            self.add_entry(data_center)
        self.wait_ready()
        self.serve_all("at the start")

    def serve_all(self, when):
        """Waits until each entry serves both kinds of calls."""
        for number, entry in enumerate(self.entries):
            harness.wait_for(
                "%s to serve streams %s" % (entry["name"], when),
                lambda: self.answers(self.draft, entry, "s%d" % number))
            harness.wait_for(
                "%s to serve payments %s" % (entry["name"], when),
                lambda: self.answers(self.pay, entry, "p%d" % number))

    @staticmethod
    def spread(count):
        """The data centres of `count` processes."""
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
        """Names of our own processes: entries and targets."""
        return [entry["name"] for entry in self.entries] + [
            replica["target"] for replica in self.replicas
            if replica["target"] in self.cluster.processes]
