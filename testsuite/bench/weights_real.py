"""Distributes weights to 24 vltarget processes on loopback with paced links.

Prints the time of the last host relative to its bound, and the bytes per second
that the chunk path verified, compared with SHA-256 alone on this machine.
"""

import argparse
import hashlib
import os
import shutil
import sys
import tempfile
import time

import harness

HOSTS = 24
REGIONS = 3
CHUNK_BYTES = 1 << 20
WEIGHTS_BYTES = 128 << 20
# Rate of a host's link in bytes per second, all of which chunks may use. The
# bound is computed from it.
HOST_RATE = 16 << 20
ORIGIN_RATE = 2 * HOST_RATE
POOL = "drafting"


def build_cluster(bin_folder, work, host_rate, origin_rate, hosts):
    cluster = harness.Cluster(bin_folder, work)
    cluster.add_entry("entry-0")
    for number in range(hosts):
        region = "r%d" % (number % REGIONS)
        center = "%s-%d" % (region, number // REGIONS % 2)
        cluster.add_target(
            "target-%02d" % number, POOL, region=region, data_center=center,
            link={"upload": host_rate, "download": host_rate},
            transfer={"share_percent": 100, "origin_rate": origin_rate})
    cluster.start_platform(origin_link=origin_rate)
    cluster.start_host_list()
    cluster.start_hosts()
    return cluster


def declare(cluster, size):
    version = cluster.make_version("breakdowns-1", "breakdowns", size,
                                   chunk_size=CHUNK_BYTES)
    cluster.apply([
        {"kind": "limits", "name": "acme", "spec": {"weight": 1}},
        {"kind": "model", "name": "breakdowns", "spec": {}},
        version,
        {"kind": "pool", "name": POOL, "spec": {"version": "breakdowns-1"}},
        {"kind": "route", "name": "breakdowns", "spec": {"pool": POOL}}])
    return version["spec"]["digest"]


def field(line, name):
    return line.split(" %s=" % name, 1)[1].split()[0]


def transfer_seconds(cluster):
    """Duration of each host's transfer, from its log; sorted."""
    seconds = []
    for target in cluster.targets:
        with open(cluster.path(target["name"] + ".log")) as log:
            for line in log:
                if "event=transfer_ended" in line:
                    seconds.append(int(field(line, "ms")) / 1000)
                    break
    return sorted(seconds)


def wait_live(cluster, digest, hosts, timeout):
    """Seconds from now until each host serves `digest`, sorted."""
    start = time.monotonic()
    live_at = {}

    def all_live():
        for name in cluster.live(digest):
            live_at.setdefault(name, time.monotonic() - start)
        return len(live_at) == hosts

    harness.wait_for("weights on all hosts", all_live, timeout)
    return sorted(live_at.values())


def measure_paced(bin_folder, work):
    cluster = build_cluster(bin_folder, work, HOST_RATE, ORIGIN_RATE, HOSTS)
    try:
        digest = declare(cluster, WEIGHTS_BYTES)
        live = wait_live(cluster, digest, HOSTS, 60)
        times = transfer_seconds(cluster)
        origin = harness.call(cluster.origin, "GET", "/stats").json()["bytes"]
    finally:
        cluster.stop()
    bound = WEIGHTS_BYTES / HOST_RATE
    print("bench=weights_real hosts=%d seconds_last=%.2f ratio_last=%.3f "
          "ratio_p50=%.3f origin_copies=%.3f live_seconds_last=%.2f "
          "load_average=%.1f" % (
              HOSTS, times[-1], times[-1] / bound,
              times[len(times) // 2] / bound, origin / WEIGHTS_BYTES,
              live[-1], os.getloadavg()[0]), flush=True)


def sha256_rate(size=256 << 20):
    piece = os.urandom(CHUNK_BYTES)
    start = time.monotonic()
    for _ in range(size // CHUNK_BYTES):
        hashlib.sha256(piece).digest()
    return size / (time.monotonic() - start)


def measure_path(bin_folder, work, size=768 << 20):
    """One host fetches from another that has all chunks, without pacing."""
    cluster = build_cluster(bin_folder, work, 0, 0, 2)
    try:
        late = cluster.processes["target-01"]
        late.kill()
        digest = declare(cluster, size)
        harness.wait_for("weights on the first host",
                         lambda: "target-00" in cluster.live(digest), 60)
        cluster.restart("target-01")
        harness.wait_for("the transfer's end",
                         lambda: len(transfer_seconds(cluster)) == 2, 60)
        with open(cluster.path("target-01.log")) as log:
            ends = [line for line in log if "event=transfer_ended" in line]
        took = int(field(ends[-1], "ms")) / 1000
    finally:
        cluster.stop()
    alone = sha256_rate()
    print("bench=weights_real path_bytes_per_second=%.0f "
          "sha256_bytes_per_second=%.0f path_over_sha256=%.2f" % (
              size / took, alone, size / took / alone))


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    options = parser.parse_args()
    for measure in (measure_paced, measure_path):
        work = tempfile.mkdtemp(prefix="verbenalead-bench-")
        try:
            measure(options.bin, work)
        finally:
            shutil.rmtree(work, ignore_errors=True)


if __name__ == "__main__":
    sys.exit(main())
