"""Measures the overhead of vlentry and vltarget on a request.

One caller calls the stand-in engine directly, and then through an entry and a
target, on loopback. `ratio` is the median time through them divided by the
median time of a direct call. Prints lines of
`bench=requests scenario=path ...`.
"""

import argparse
import os
import subprocess
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                ".."))
import harness  # noqa: E402

TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(process):
    with open("/proc/%d/stat" % process.child.pid) as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def load(cluster, address, *words):
    done = subprocess.run(
        [cluster.program("load"), "-a", address, "--model", "breakdowns",
         *words], capture_output=True, text=True, check=True)
    return dict(pair.split("=") for pair in done.stdout.split())


def through(cluster, entry, *words):
    """Figures of the load program, and processor time of both processes."""
    names = ("entry-0", "target-0")
    before = sum(cpu_seconds(cluster.processes[name]) for name in names)
    figures = load(cluster, entry["callers"], *words)
    after = sum(cpu_seconds(cluster.processes[name]) for name in names)
    figures["cpu_us"] = 1e6 * (after - before) / int(figures["requests"])
    return figures


def start(cluster, token_us):
    entry = cluster.add_entry("entry-0")
    target = cluster.add_target("target-0", "drafting", capacity=64)
    cluster.start_platform()
    cluster.start_host_list()
    cluster.start_hosts(token_us=token_us)
    harness.declare_model(cluster)
    harness.wait_open(cluster, 1)
    return entry, target


def measure(bin_folder, token_us, callers, seconds):
    work = tempfile.mkdtemp(prefix="verbenalead-bench-")
    cluster = harness.Cluster(bin_folder, work)
    try:
        entry, target = start(cluster, token_us)
        words = ("--tokens", "8", "--callers", str(callers), "--seconds",
                 str(seconds), "--warm", "0")
        direct = load(cluster, target["backend"], *words)
        way = through(cluster, entry, *words)
        ratio = float(way["whole_p50_ms"]) / float(direct["whole_p50_ms"])
        print("bench=requests scenario=path token_us=%d callers=%d "
              "direct_p50_ms=%s through_p50_ms=%s through_p99_ms=%s "
              "ratio=%.2f requests_per_second=%s requests_per_core=%.0f "
              "completed=%s requests=%s" % (
                  token_us, callers, direct["whole_p50_ms"],
                  way["whole_p50_ms"], way["whole_p99_ms"], ratio,
                  way["per_second"], 1e6 / way["cpu_us"],
                  way.get("completed", 0), way["requests"]), flush=True)
    finally:
        cluster.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True)
    parser.add_argument("--seconds", type=float, default=5)
    options = parser.parse_args()
    measure(options.bin, 0, 1, options.seconds)
    measure(options.bin, 1000, 1, options.seconds)
    measure(options.bin, 0, 16, options.seconds)


if __name__ == "__main__":
    main()
