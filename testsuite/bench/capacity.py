"""Resource use of idle processes by fleet size: `make bench-capacity`."""

import os
import time

import fleet
import harness

ENTRIES = 8
SIZES = (8, 16, 32)
SECONDS = 8


def measure(cluster, targets):
    fleet.start(cluster, ENTRIES, targets)
    fleet.declare(cluster)
    time.sleep(2)
    names = [host["name"] for host in cluster.entries + cluster.targets]
    sent = fleet.wire_bytes(cluster)
    reads = fleet.table_reads(cluster)
    before = {name: fleet.Usage(cluster.processes[name]) for name in names}
    time.sleep(SECONDS)
    after = {name: fleet.Usage(cluster.processes[name]) for name in names}
    rates = fleet.wire_rates(sent, fleet.wire_bytes(cluster), SECONDS)
    reads = (fleet.table_reads(cluster) - reads) / SECONDS
    for role in ("entry", "target"):
        chosen = [name for name in names if name.startswith(role)]
        cpu = [100 * (after[name].cpu - before[name].cpu) / SECONDS
               for name in chosen]
        print("bench=capacity role=%s what=idle entries=%d targets=%d "
              "cpu_percent_mean=%.2f cpu_percent_max=%.2f rss_mb_max=%.1f "
              "bytes_per_second_mean=%.0f table_reads_per_second=%.1f" % (
                  role, ENTRIES, targets, sum(cpu) / len(cpu), max(cpu),
                  max(after[name].resident for name in chosen) / 1e6,
                  sum(rates[name] for name in chosen) / len(chosen), reads),
              flush=True)


def body(cluster):
    for targets in SIZES:
        work = os.path.join(cluster.work, str(targets))
        sized = harness.Cluster(cluster.bin, work)
        try:
            measure(sized, targets)
        finally:
            sized.stop()


if __name__ == "__main__":
    harness.run_case(body)
