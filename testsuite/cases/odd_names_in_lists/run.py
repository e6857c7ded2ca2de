"""Rows of another writer stand in the list of replicas under odd names.

Their names hold characters that mean something else in the target of a request,
or that no text may hold, and end pages of the list. A process that starts then
must read the whole list: read in vain, or for ever, it leaves all calls refused.
Such a row names no replica, so nothing connects to its address.
"""

import socket
import threading
import time

import harness
import platform_fleet

# Names by which another writer's rows stand in the list, in groups that are
# written together.
RECORDED = ("a14%#", "a28+", "a29+")
SYNTAX = ("i-1&", "i-2+", "i-3#", "i-3%", "i-3 x", "i-3=", "i-3?", "i-4/../x",
          "i-4%7e", "i-4\"", "i-4\\u0041", "i-5;<>", "i-5\u00e9\u4e2d",
          "z\u0001\n", "z\ud800", "z\udc00y")
PAGES = (1, 2, 3)
# Longest time until calls are served after all processes are back, in seconds.
RECOVER = 10.0
CALLS = 10
# Requests to the store that one restart may take. Far more are a read of pages
# that goes round in a circle.
MOST_READS = 400
# Bound on calls at a replica after its row said that it leaves, in seconds.
DRAIN = 2.0


class Listener:
    """Counts the connections at an address that no replica has."""

    def __init__(self, address):
        host, port = address.rsplit(":", 1)
        self.connections = 0
        self.socket = socket.create_server((host, int(port)))
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.socket.accept()
            self.connections += 1
            connection.close()


def served(fleet, entry, number):
    """Whether `entry` serves a stream and a plain call."""
    try:
        return fleet.draft(entry, number).status == 200 and \
            fleet.look(entry, number).status == 200
    except OSError:
        return False


def check_served(fleet, what):
    begin = time.monotonic()
    for entry in fleet.entries:
        try:
            harness.wait_for(
                "calls at %s, %s" % (entry["name"], what),
                lambda: served(fleet, entry, 1),
                max(0.1, begin + RECOVER - time.monotonic()))
        except AssertionError as failure:
            return str(failure)
    took = time.monotonic() - begin
    whole = sum(served(fleet, entry, number)
                for entry in fleet.entries for number in range(CALLS))
    requests = fleet.store_requests()
    print("%s: served after %.1f s, %d of %d calls, requests %s" % (
        what, took, whole, CALLS * len(fleet.entries), requests), flush=True)
    if whole < 0.9 * CALLS * len(fleet.entries):
        return "%s: %d calls served" % (what, whole)
    if requests.get("malformed") or requests.get("/rows-get", 0) > MOST_READS:
        return "%s: requests to the store: %s" % (what, requests)
    return None


def restart(cluster, fleet, all_processes, meanwhile=lambda: None):
    """Kills and starts processes; calls `meanwhile` while they are away."""
    names = [entry["name"] for entry in fleet.entries]
    if all_processes:
        names += [replica["target"] for replica in fleet.replicas
                  if replica["target"] in cluster.processes]
    for name in names:
        cluster.processes[name].kill()
    time.sleep(0.3)
    meanwhile()
    fleet.store_requests()
    for name in names:
        cluster.restart(name)


def write_odd_rows(fleet, table, names, address, part=""):
    """Writes rows, some of which read like a replica's and others not at all.

    Some name the address of a true replica, which they must not hide.
    """
    named = [("ledger", address)] + [
        (replica["service"], replica["address"]) for replica in fleet.replicas]
    values = ["\u0000junk"] + [
        {"service": service, "address": at, "zone": "a", "version": "v1",
         "slots": 8, "state": "ready", "cold_left_ms": 0, "born": 1,
         "sequence": 0} for service, at in named]
    for number, name in enumerate(names):
        fleet.write(table, name, values[number % len(values)], part)


def remove_rows(fleet, table, names):
    for name in names:
        fleet.remove(table, name)


def check_feed(fleet):
    """A row that can't be read is the newest change, and a replica leaves."""
    fleet.write("servers", "zz\ud800", "junk")
    leaving = fleet.replicas[-1]
    fleet.leave(leaving)
    time.sleep(DRAIN)
    left_at = 1000 * time.monotonic()
    for number in range(CALLS):
        for entry in fleet.entries:
            fleet.look(entry, 1000 + number)
    late = [at for at in fleet.arrivals(leaving) if at > left_at]
    fleet.remove("servers", "zz\ud800")
    return "%d calls at a replica that left" % len(late) if late else None


def body(cluster):
    fleet = platform_fleet.PlatformFleet(cluster)
    fleet.start_platform()
    fleet.declare(1)
    for data_center in ("a", "b"):
        fleet.add_replica(version=1, data_center=data_center)
        fleet.add_replica("ledger", "", data_center=data_center)
    listener = Listener("127.0.2.99:%d" % fleet.replica_port)
    for data_center in ("a", "a", "b"):
        fleet.add_entry(data_center)
    fleet.wait_ready()
    address = "127.0.2.99:%d" % fleet.replica_port
    broken = [check_served(fleet, "at first")]
    for names, what in ((RECORDED, "recorded names"), (SYNTAX, "odd names")):
        for page in PAGES:
            fleet.set_page(page)
            for all_processes in (True, False):
                def write():
                    write_odd_rows(fleet, "servers", names, address)
                if not all_processes:
                    write()
                restart(cluster, fleet, all_processes,
                        write if all_processes else lambda: None)
                broken.append(check_served(
                    fleet, "%s, pages of %d, %s restarted" % (
                        what, page, "all" if all_processes else "entries")))
                remove_rows(fleet, "servers", names)
    odd_keys = ["config" + name for name in RECORDED + SYNTAX] + \
        ["version/" + name for name in RECORDED + SYNTAX]
    write_odd_rows(fleet, "op", odd_keys, address)
    restart(cluster, fleet, True)
    broken.append(check_served(fleet, "odd names in the operator's table"))
    for table, part in (("entries", "a"), ("declarations", "declarations")):
        write_odd_rows(fleet, table, RECORDED + SYNTAX, address, part)
    for part in RECORDED + SYNTAX:
        write_odd_rows(fleet, "entries", ("x+",), address, part)
    restart(cluster, fleet, True)
    broken.append(check_served(fleet, "odd names in the tables of entries"))
    broken.append(check_feed(fleet))
    if listener.connections:
        broken.append("%d connections to the address of an odd row" %
                      listener.connections)
    broken = [each for each in broken if each]
    assert not broken, broken


harness.run_case(body)
