"""Measures a cold start of all entries on the users' platform.

Entries of several data centres read a store with many replicas and a large
configuration. All of them are killed and restarted at once. Prints a line of
`bench=platform_cold_start` with the seconds from the first start until the
first, the middle and the last entry was ready.
"""

import argparse
import base64
import concurrent.futures
import json
import os
import shutil
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                ".."))
import harness  # noqa: E402
import platform_fleet  # noqa: E402

ROWS_A_WRITE = 100
POLL = 0.02
GIVE_UP = 60


def write_replicas(fleet, count, data_centers):
    """Writes rows of `count` replicas, to which no calls are sent."""
    for first in range(0, count, ROWS_A_WRITE):
        rows = []
        for number in range(first, min(count, first + ROWS_A_WRITE)):
            replica = {"service": "ledger", "slots": 8, "state": "ready",
                       "address": "127.0.3.1:9", "born": number,
                       "zone": "dc-%d" % (number % data_centers)}
            rows.append({"table": "servers", "part": "",
                         "key": "i-%d" % number, "value": base64.b64encode(
                             json.dumps(replica).encode()).decode()})
        reply = harness.call(fleet.store, "POST", "/rows-tx",
                             {"precondition": [], "writes": rows,
                              "remove": []})
        assert reply.status == 200, reply.body


def ready_times(fleet, begun):
    """Seconds from `begun` until each entry was ready, sorted."""
    def wait(entry):
        while not fleet.ready(entry):
            assert time.monotonic() - begun < GIVE_UP, entry["name"]
            time.sleep(POLL)
        return time.monotonic() - begun
    with concurrent.futures.ThreadPoolExecutor(len(fleet.entries)) as pool:
        return sorted(pool.map(wait, fleet.entries))


def measure(options):
    work = tempfile.mkdtemp(prefix="verbenalead-bench-")
    cluster = harness.Cluster(options.bin, work)
    try:
        fleet = platform_fleet.PlatformFleet(cluster)
        fleet.keys += ["key-%d" % number for number in range(options.keys)]
        fleet.start_platform()
        write_replicas(fleet, options.replicas, options.data_centers)
        for number in range(options.entries):
            fleet.add_entry("dc-%d" % (number % options.data_centers))
        ready_times(fleet, time.monotonic())
        time.sleep(2)
        names = [entry["name"] for entry in fleet.entries]
        for name in names:
            cluster.processes[name].kill()
        begun = time.monotonic()
        for name in names:
            cluster.restart(name)
        times = ready_times(fleet, begun)
        print("bench=platform_cold_start entries=%d data_centers=%d "
              "replicas=%d first_s=%.2f middle_s=%.2f last_s=%.2f" % (
                  len(times), options.data_centers, options.replicas,
                  times[0], times[len(times) // 2], times[-1]), flush=True)
    finally:
        cluster.stop()
        if options.keep:
            print("logs=" + work)
        else:
            shutil.rmtree(work, ignore_errors=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True)
    parser.add_argument("--entries", type=int, default=60)
    parser.add_argument("--data-centers", type=int, default=6)
    parser.add_argument("--replicas", type=int, default=3000)
    parser.add_argument("--keys", type=int, default=2000)
    parser.add_argument("--keep", action="store_true")
    measure(parser.parse_args())


if __name__ == "__main__":
    main()
