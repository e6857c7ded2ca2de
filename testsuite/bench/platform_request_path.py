"""Measures the processor time of a call on the users' platform.

Callers stream drafts through one entry from two replicas on loopback. Prints a
line of `bench=platform_path` with the processor time per call of vlentry and of
the target processes. With --profile, also prints the functions with the largest
share of the samples of perf, where that is installed.
"""

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                ".."))
import harness  # noqa: E402
import platform_fleet  # noqa: E402
from request_path import cpu_seconds  # noqa: E402

EVENTS = 18
CALLERS = 8
MOST_FUNCTIONS = 10


def play(fleet, seconds):
    """Sends calls for `seconds`; returns the number of complete responses."""
    whole = []
    end = time.monotonic() + seconds

    def send(caller):
        number = 0
        while time.monotonic() < end:
            number += 1
            reply = fleet.draft(fleet.entries[0],
                                1000000 * (caller + 1) + number, EVENTS)
            if reply.body == platform_fleet.events(EVENTS):
                whole.append(number)

    threads = [threading.Thread(target=send, args=(caller,))
               for caller in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return len(whole)


def print_profile(name, samples):
    """Prints the functions with the largest share of a process's samples."""
    report = subprocess.run(
        ["perf", "report", "-i", samples, "--stdio", "--no-children",
         "-g", "none", "--percent-limit", "0.5", "-F", "overhead,dso,sym"],
        capture_output=True, text=True, check=False).stdout
    rows = [line.split() for line in report.splitlines()
            if line.strip() and not line.startswith("#")]
    for row in rows[:MOST_FUNCTIONS]:
        print("profile process=%s share=%s object=%s function=%s" % (
            name, row[0], os.path.basename(row[1]),
            " ".join(row[3:])[:100]), flush=True)


def measure(bin_folder, seconds, profile):
    work = tempfile.mkdtemp(prefix="verbenalead-bench-")
    cluster = harness.Cluster(bin_folder, work)
    try:
        fleet = platform_fleet.PlatformFleet(cluster)
        fleet.start_platform()
        fleet.add_replica()
        fleet.add_replica()
        fleet.add_entry()
        fleet.wait_ready()
        fleet.wait_version(1)
        harness.wait_for("a first stream", lambda: fleet.draft(
            fleet.entries[0], 0).status == 200)
        processes = {"vlentry": cluster.processes["entry-1"],
                     "vltarget": cluster.processes["target-1"]}
        recorders = {}
        for name, process in processes.items() if profile else ():
            samples = os.path.join(work, name + ".samples")
            recorders[name] = (samples, subprocess.Popen(
                ["perf", "record", "-q", "-F", "2000", "-o", samples, "-p",
                 str(process.child.pid), "--", "sleep", str(seconds)],
                stderr=subprocess.DEVNULL))
        before = {name: cpu_seconds(each) for name, each in processes.items()}
        calls = play(fleet, seconds)
        cost = {name: 1e6 * (cpu_seconds(each) - before[name]) / max(1, calls)
                for name, each in processes.items()}
        # Each of the two target processes handles half of the calls.
        print("bench=platform_path calls=%d events=%d entry_us_a_call=%.0f "
              "target_us_a_call=%.0f" % (calls, EVENTS, cost["vlentry"],
                                         2 * cost["vltarget"]), flush=True)
        for name, (samples, recorder) in recorders.items():
            recorder.wait()
            print_profile(name, samples)
    finally:
        cluster.stop()
        shutil.rmtree(work, ignore_errors=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True)
    parser.add_argument("--seconds", type=float, default=5)
    parser.add_argument("--profile", action="store_true")
    options = parser.parse_args()
    measure(options.bin, options.seconds, options.profile)


if __name__ == "__main__":
    main()
