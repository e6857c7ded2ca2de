"""Configuration benchmarks on 8 entries and 24 targets: `make bench-config`."""

import threading
import time

import fleet
import harness

ENTRIES = 8
TARGETS = 24
CHANGES = 100
WRITERS = 8
WRITES_EACH = 125
IDLE_SECONDS = 10


def line(what, **figures):
    print("bench=config what=%s %s" % (what, " ".join(
        "%s=%s" % item for item in figures.items())), flush=True)


def spread(cluster, name, rounds, killed=None):
    """Measures the time from acceptance of a change until it is in force
    everywhere, including the time of the polls."""
    watchers = fleet.Watchers(cluster)
    accepted_after = []
    in_force_after = []
    skip = []
    for number in range(rounds):
        living = [entry for entry in cluster.entries
                  if entry["name"] not in skip]
        entry = living[number % len(living)]
        begin = time.monotonic()
        reply = fleet.put(entry, "limits", "spread",
                          {"weight": number % 9 + 1}, "%s-%d" % (name, number))
        assert reply.status == 200, (reply.status, reply.body)
        accepted_after.append(time.monotonic() - begin)
        if number == killed:
            cluster.processes[entry["name"]].kill()
            skip.append(entry["name"])
        in_force_after.append(watchers.in_force_everywhere(
            reply.json()["revision"], TARGETS, skip))
    line(name, samples=rounds,
         accepted_p50_ms=round(1000 * fleet.percentile(accepted_after, 0.5)),
         accepted_p99_ms=round(1000 * fleet.percentile(accepted_after, 0.99)),
         in_force_p50_ms=round(1000 * fleet.percentile(in_force_after, 0.5)),
         in_force_p99_ms=round(1000 * fleet.percentile(in_force_after, 0.99)),
         killed=len(skip))
    return skip


def idle(cluster):
    reads = fleet.table_reads(cluster)
    names = [host["name"] for host in cluster.entries + cluster.targets]
    before = {name: fleet.Usage(cluster.processes[name]) for name in names}
    sent = fleet.wire_bytes(cluster)
    time.sleep(IDLE_SECONDS)
    rates = fleet.wire_rates(sent, fleet.wire_bytes(cluster), IDLE_SECONDS)
    after = {name: fleet.Usage(cluster.processes[name]) for name in names}
    for role in ("entry", "target"):
        chosen = [name for name in names if name.startswith(role)]
        line("idle", role=role,
             cpu_percent_max=round(max(
                 100 * (after[name].cpu - before[name].cpu) / IDLE_SECONDS
                 for name in chosen), 2),
             bytes_per_second_max=round(max(rates[name] for name in chosen)),
             rss_mb_max=round(max(after[name].resident
                                  for name in chosen) / 1e6, 1))
    line("table", reads_per_second=round(
        (fleet.table_reads(cluster) - reads) / IDLE_SECONDS, 1))


def race(cluster):
    """Each writer increments a shared counter by compare-and-swap."""
    fleet.put(cluster.entries[0], "limits", "counter",
              {"weight": 1, "max_queued": 0}, "race-start")
    conflicts = [0] * WRITERS

    def write(writer):
        entry = cluster.entries[writer]
        for number in range(WRITES_EACH):
            while True:
                now = harness.call(entry["operators"], "GET",
                                   "/v1/resources/limits/counter").json()
                spec = {"weight": 1,
                        "max_queued": now["spec"]["max_queued"] + 1}
                reply = fleet.put(entry, "limits", "counter", spec,
                                  "race-%d-%d-%d" % (writer, number,
                                                     conflicts[writer]),
                                  match=now["revision"])
                if reply.status in (200, 202):
                    break
                assert reply.status == 409, (reply.status, reply.body)
                conflicts[writer] += 1

    begin = time.monotonic()
    threads = [threading.Thread(target=write, args=(writer,))
               for writer in range(WRITERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    revision = max(fleet.revision_of(entry) for entry in cluster.entries)
    fleet.Watchers(cluster).in_force_everywhere(revision, TARGETS)
    total = harness.call(cluster.entries[0]["operators"], "GET",
                         "/v1/resources/limits/counter").json()
    line("race", writes=WRITERS * WRITES_EACH,
         lost=WRITERS * WRITES_EACH - total["spec"]["max_queued"],
         conflicts=sum(conflicts),
         seconds=round(time.monotonic() - begin, 1))


def trace(cluster):
    took = []
    for number in range(50):
        name = "bench-trace-%d" % number
        harness.call(cluster.entries[number % ENTRIES]["callers"], "GET",
                     "/services/fee-ledger/fees/1", None,
                     {"x-organisation": "acme", "x-request-id": name})
        begin = time.monotonic()
        reply = harness.call(cluster.entries[(number + 1) % ENTRIES][
            "operators"], "GET", "/v1/trace/" + name)
        took.append(time.monotonic() - begin)
        assert reply.status == 200, (reply.status, reply.body)
    line("trace", samples=len(took),
         p50_ms=round(1000 * fleet.percentile(took, 0.5)),
         p99_ms=round(1000 * fleet.percentile(took, 0.99)))


def body(cluster):
    fleet.start(cluster, ENTRIES, TARGETS)
    fleet.declare(cluster)
    idle(cluster)
    spread(cluster, "spread", CHANGES)
    trace(cluster)
    race(cluster)
    cluster.faults(cluster.table, delay_ms=500)
    spread(cluster, "spread_slow_table", 10, killed=5)


if __name__ == "__main__":
    harness.run_case(body)
