"""A fleet of entries and plain-service targets for cases and benchmarks of
configuration, and functions that measure its processes."""

import concurrent.futures
import json
import os
import subprocess
import time

import harness

POOL = "ledger"
SERVICE = "fee-ledger"


def start(cluster, entries, targets, log_level="warn", **platform):
    """Starts a fleet whose targets share one plain service.

    One service is enough, as only the control traffic is measured.
    """
    quiet = {"log": {"level": log_level}}
    for number in range(entries):
        cluster.add_entry("entry-%d" % number, **quiet)
    backend = "127.0.0.1:%d" % harness.free_ports(1)[0]
    for number in range(targets):
        cluster.add_target("target-%d" % number, POOL, kind="service",
                           backend=backend, **quiet)
    cluster.start_platform()
    cluster.start_host_list()
    cluster.start("backend", "standin_service",
                  {"listen": backend, "work_ms": 1})
    for target in cluster.targets:
        cluster.start(target["name"], "vltarget", target["settings"])
    for entry in cluster.entries:
        cluster.start(entry["name"], "vlentry", entry["settings"])
    for entry in cluster.entries:
        cluster.wait_listening(entry["operators"])
    harness.wait_for("every target at every entry", lambda: all(
        len(cluster.status(number)["targets"]) == targets
        for number in range(entries)))


def declare(cluster):
    cluster.apply([
        {"kind": "limits", "name": "acme", "spec": {"weight": 1}},
        {"kind": "pool", "name": POOL, "spec": {"service": SERVICE}},
        {"kind": "service", "name": SERVICE, "spec": {"pool": POOL}}])


def put(entry, kind, name, spec, operation, operator="ann", match=None,
        timeout=15):
    headers = {"x-operation-id": operation, "x-operator": operator}
    if match is not None:
        headers["if-match"] = str(match)
    return harness.call(entry["operators"], "PUT",
                        "/v1/resources/%s/%s" % (kind, name), spec, headers,
                        timeout)


def revision_of(entry):
    return harness.call(entry["operators"], "GET", "/v1/status",
                        timeout=2).json()["revision"]


class Watchers:
    """Measures when a revision is in force everywhere.

    Polls the status of the entries, which contains the reports of the targets.
    """

    def __init__(self, cluster):
        self.cluster = cluster

    def in_force_everywhere(self, revision, targets, skip=(), timeout=20):
        """Returns the seconds until `revision` is in force everywhere.

        Entries named in `skip` are ignored.
        """
        start_at = time.monotonic()
        entries = [entry for entry in self.cluster.entries
                   if entry["name"] not in skip]
        while time.monotonic() - start_at < timeout:
            statuses = [harness.call(entry["operators"], "GET", "/v1/status",
                                     timeout=2).json() for entry in entries]
            seen = {}
            for status in statuses:
                for report in status["targets"]:
                    seen[report["name"]] = max(seen.get(report["name"], 0),
                                               report["revision"])
            if (all(status["revision"] >= revision for status in statuses)
                    and sum(at >= revision for at in seen.values()) == targets):
                return time.monotonic() - start_at
            time.sleep(0.01)
        raise AssertionError("revision %d is not in force everywhere" % revision)


def percentile(samples, share):
    ordered = sorted(samples)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def in_parallel(count, work):
    """Runs work(0) ... work(count - 1) concurrently; returns the results."""
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        return list(pool.map(work, range(count)))


class Usage:
    """CPU time in seconds and resident memory in bytes of a process."""

    def __init__(self, process):
        with open("/proc/%d/stat" % process.child.pid) as file:
            fields = file.read().rsplit(")", 1)[1].split()
        ticks = os.sysconf("SC_CLK_TCK")
        self.cpu = (int(fields[11]) + int(fields[12])) / ticks
        self.resident = int(fields[21]) * os.sysconf("SC_PAGE_SIZE")


def wire_bytes(cluster):
    """Bytes sent and received by process and connection, from `ss`."""
    text = subprocess.run(["ss", "-tinpH"], capture_output=True,
                          text=True).stdout
    names = {process.child.pid: name
             for name, process in cluster.processes.items()}
    bytes_by_connection = {}
    owner = None
    for row in text.splitlines():
        if "pid=" in row:
            fields = row.split()
            pid = int(row.split("pid=")[1].split(",")[0])
            owner = (names.get(pid), fields[3], fields[4])
        elif owner and owner[0]:
            bytes_by_connection[owner] = sum(
                int(field.split(":")[1]) for field in row.split()
                if field.startswith(("bytes_sent:", "bytes_received:")))
    return bytes_by_connection


def wire_rates(before, after, seconds):
    """Bytes per second by process."""
    rates = {}
    for connection, amount in after.items():
        name = connection[0]
        rates[name] = rates.get(name, 0) + (
            amount - before.get(connection, 0)) / seconds
    return rates


def table_reads(cluster):
    return json.loads(harness.call(cluster.table, "GET", "/stats").body)[
        "reads"]
