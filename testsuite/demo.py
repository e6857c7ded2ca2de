"""Demonstration: distributes weights to four targets, then sends requests.

Starts 2 vlentry, 4 vltarget for model engines, 1 vltarget for a plain service,
and the stand-ins. Exits with 0 only if every digest and every response was
right.
"""

import argparse
import os
import shutil
import sys
import tempfile
import time

import harness

MODEL_BYTES = 64 << 20
POOL = "drafting"
SERVICE_POOL = "ledger"


def build_cluster(bin_folder, work):
    cluster = harness.Cluster(bin_folder, work)
    for number in range(2):
        cluster.add_entry("entry-%d" % number)
    for number in range(4):
        cluster.add_target("target-%d" % number, POOL,
                           data_center="mtl-%d" % (number % 2))
    cluster.add_target("ledger-0", SERVICE_POOL, kind="service")
    cluster.start_platform()
    cluster.start_host_list()
    cluster.start_hosts()
    return cluster


def declare(cluster):
    version = cluster.make_version("breakdowns-1", "breakdowns", MODEL_BYTES)
    cluster.apply([
        {"kind": "limits", "name": "acme", "spec": {"weight": 1}},
        {"kind": "model", "name": "breakdowns", "spec": {}},
        version,
        {"kind": "pool", "name": POOL, "spec": {"version": "breakdowns-1"}},
        {"kind": "route", "name": "breakdowns", "spec": {"pool": POOL}},
        {"kind": "pool", "name": SERVICE_POOL,
         "spec": {"service": "fee-ledger"}},
        {"kind": "service", "name": "fee-ledger",
         "spec": {"pool": SERVICE_POOL}}])
    return version["spec"]["digest"]


def show_progress(cluster):
    done = cluster.vlctl("rollout", "status", POOL, check=False)
    if done.returncode == 0:
        print(done.stdout, flush=True)


def wait_live(cluster, digest):
    start = time.monotonic()
    live_at = {}
    shown = 0.0
    while len(live_at) < 4:
        for name in cluster.live(digest):
            if name not in live_at:
                live_at[name] = time.monotonic() - start
        if time.monotonic() - shown > 0.5:
            shown = time.monotonic()
            show_progress(cluster)
        if time.monotonic() - start > 50:
            raise AssertionError("not live everywhere: %s" % live_at)
        time.sleep(0.02)
    show_progress(cluster)
    for name, seconds in sorted(live_at.items()):
        print("%s live after %.2f s" % (name, seconds))


class Checks:
    """Prints the result of each check and counts those that failed."""

    def __init__(self):
        self.wrong = 0

    def expect(self, what, good, detail=""):
        print("%-58s %s %s" % (what, "right" if good else "WRONG", detail))
        if not good:
            self.wrong += 1


def check_completions(cluster, digest, checks):
    for number in range(4):
        entry = cluster.entries[number % 2]
        prompt = "Breakdown for scene %d" % number
        wanted = harness.expected_text(digest, prompt, 8)
        reply = harness.completion(entry, "breakdowns", prompt)
        text = reply.json()["choices"][0]["text"] if reply.status == 200 else ""
        checks.expect("completion via %s from %s" % (
            entry["name"], reply.headers.get("x-target")),
            text == wanted and reply.outcome == "completed")
        reply = harness.completion(entry, "breakdowns", prompt, stream=True)
        checks.expect("streamed completion via %s from %s" % (
            entry["name"], reply.headers.get("x-target")),
            harness.streamed_text(reply) == wanted)


def check_once(cluster, checks):
    """Checks that a confirmation sent through two entries runs once."""
    headers = {"x-organisation": "acme", "x-idempotent": "false",
               "idempotency-key": "fee-42"}
    replies = [harness.call(entry["callers"], "POST",
                            "/services/fee-ledger/confirm", '{"fee": 42}',
                            headers) for entry in cluster.entries]
    ledger = cluster.targets[-1]["backend"]
    runs = harness.call(ledger, "GET", "/runs").json()
    checks.expect("fee confirmation sent twice, answered alike",
                  replies[0].body == replies[1].body
                  and replies[0].status == 200)
    checks.expect("fee confirmation ran once", runs.get("fee-42") == 1, runs)
    reply = harness.call(cluster.entries[0]["callers"], "GET",
                         "/services/fee-ledger/fees/7", None,
                         {"x-organisation": "acme"})
    checks.expect("plain service call", reply.status == 200)


def check_metrics(cluster, checks):
    """Checks that both daemons export metrics in the text format."""
    entry = harness.call(cluster.entries[0]["callers"], "GET", "/metrics")
    checks.expect("metrics of an entry",
                  b"verbenalead_calls_total" in entry.body)
    weights = cluster.targets[0]["settings"]["listen"]["weights"]
    target = harness.call(weights, "GET", "/metrics")
    checks.expect("metrics of a target",
                  b"verbenalead_gate_open 1" in target.body
                  and b"verbenalead_attempt_seconds_count" in target.body)


def check_refusals(cluster, checks):
    entry = cluster.entries[0]
    reply = harness.completion(entry, "no-such-model", "x")
    checks.expect("unknown model is refused, not run",
                  reply.status == 404 and reply.outcome == "refused")
    reply = harness.completion(entry, "breakdowns", "x", organisation="nobody")
    checks.expect("unknown organisation is refused, not run",
                  reply.status == 404 and reply.outcome == "refused")


def check_kill(cluster, digest, checks):
    """Kills a target under load; checks that every reported outcome is true."""
    victim = cluster.processes["target-3"]
    outcomes = {}
    for number in range(40):
        if number == 10:
            victim.kill()
        prompt = "After the kill %d" % number
        reply = harness.completion(cluster.entries[number % 2], "breakdowns",
                                   prompt)
        outcomes[reply.outcome] = outcomes.get(reply.outcome, 0) + 1
        if reply.outcome == "completed":
            text = reply.json()["choices"][0]["text"]
            if text != harness.expected_text(digest, prompt, 8):
                checks.expect("answer after the kill", False, prompt)
    checks.expect("40 requests while target-3 was killed",
                  outcomes.get("completed", 0) == 40, outcomes)


def show_trace(cluster, digest, checks):
    reply = harness.completion(cluster.entries[1], "breakdowns", "Trace me",
                               headers={"x-request-id": "demo-trace-1"})
    done = cluster.vlctl("trace", "demo-trace-1", check=False)
    print("\nvlctl trace demo-trace-1\n" + done.stdout)
    checks.expect("trace names the outcome and the digest",
                  "outcome=completed" in done.stdout
                  and digest in done.stdout and reply.status == 200)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    options = parser.parse_args()
    work = tempfile.mkdtemp(prefix="verbenalead-demo-")
    checks = Checks()
    done = False
    start = time.monotonic()
    cluster = build_cluster(options.bin, work)
    try:
        digest = declare(cluster)
        wait_live(cluster, digest)
        origin = harness.call(cluster.origin, "GET", "/stats").json()["bytes"]
        print("origin sent %d bytes, %.3f copies\n" % (
            origin, origin / MODEL_BYTES))
        check_completions(cluster, digest, checks)
        check_once(cluster, checks)
        check_refusals(cluster, checks)
        check_metrics(cluster, checks)
        check_kill(cluster, digest, checks)
        show_trace(cluster, digest, checks)
        done = checks.wrong == 0
    finally:
        cluster.stop()
        if not done:
            print("logs are kept in " + work)
        else:
            shutil.rmtree(work, ignore_errors=True)
    print("\n%d wrong, %.1f s" % (checks.wrong, time.monotonic() - start))
    return 1 if checks.wrong else 0


if __name__ == "__main__":
    sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
    sys.exit(main())
