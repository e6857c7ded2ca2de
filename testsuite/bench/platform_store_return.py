"""Measures how soon a change is in force after the store came back from a copy.

Entries of several data centres; the store is away for a moment, comes back from
an older copy, and the operator changes the configuration at once. Prints a line
of `bench=platform_store_return` with the seconds from the acknowledgement until
the first, the middle and the last entry had the change, and the requests that
all entries sent to the store in the first second and in five seconds.
"""

import argparse
import concurrent.futures
import os
import shutil
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                ".."))
import harness  # noqa: E402
import platform_fleet  # noqa: E402

DATA_CENTERS = 6
POLL = 0.02
GIVE_UP = 30
SETTLE = 3.0
# Entries that are asked for their configuration at the same time.
ASKED_AT_ONCE = 44
GAUGE = "verbenalead_config_version "


def config_version(entry):
    """The version of the configuration that `entry` has in force."""
    try:
        text = harness.call(entry["metrics"], "GET", "/metrics",
                            timeout=5).body.decode()
    except OSError:
        return 0
    for line in text.splitlines():
        if line.startswith(GAUGE):
            return int(float(line[len(GAUGE):]))
    return 0


def times_in_force(fleet, acknowledged):
    """Seconds until each entry had the newest configuration, sorted."""
    def wait(entry):
        while config_version(entry) < fleet.version:
            assert time.monotonic() - acknowledged < GIVE_UP, entry["name"]
            time.sleep(POLL)
        return time.monotonic() - acknowledged
    with concurrent.futures.ThreadPoolExecutor(
            min(ASKED_AT_ONCE, len(fleet.entries))) as pool:
        return sorted(pool.map(wait, fleet.entries))


def reads(fleet):
    """Requests to the store since the last question, without the drill."""
    counts = harness.call(fleet.store, "GET", "/stats").json()
    counts.pop("/drill", None)
    return sum(counts.values()), counts


def measure(options):
    work = tempfile.mkdtemp(prefix="verbenalead-bench-")
    cluster = harness.Cluster(options.bin, work)
    try:
        fleet = platform_fleet.PlatformFleet(cluster)
        fleet.start_platform()
        for number in range(options.entries):
            fleet.add_entry("dc-%d" % (number % DATA_CENTERS))
        fleet.wait_ready()
        time.sleep(SETTLE)
        fleet.configure()
        time.sleep(SETTLE)
        reads(fleet)
        fleet.drill(age_ms=options.age_ms, away_ms=300, again_ms=300)
        fleet.configure()
        acknowledged = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            waiting = pool.submit(times_in_force, fleet, acknowledged)
            time.sleep(1)
            first_second, paths = reads(fleet)
            times = waiting.result()
        time.sleep(max(0, acknowledged + 5 - time.monotonic()))
        later, _ = reads(fleet)
        print("bench=platform_store_return entries=%d first_s=%.2f middle_s="
              "%.2f last_s=%.2f requests_first_second=%d requests_5s=%d "
              "tables=%d feeds=%d" % (
                  options.entries, times[0], times[len(times) // 2], times[-1],
                  first_second, first_second + later,
                  paths.get("/rows-get", 0), paths.get("/rows-feed", 0)),
              flush=True)
    finally:
        cluster.stop()
        if options.keep:
            print("logs=" + work)
        else:
            shutil.rmtree(work, ignore_errors=True)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    parser.add_argument("--entries", type=int, default=44)
    parser.add_argument("--age-ms", type=int, default=5000)
    parser.add_argument("--keep", action="store_true")
    measure(parser.parse_args())


if __name__ == "__main__":
    main()
