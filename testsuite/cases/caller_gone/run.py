"""Callers disconnect while their responses are generated.

Some wait for a streamed response and some for a whole one. The entry sees the
closed connection and resets its stream to the target, which closes its
connection to the engine. The engine stops the work within moments, so that its
slots are free for other callers. A call that may run only once runs to its end, and a
repeated call gets its outcome.
"""

import json
import socket
import threading
import time

import harness

TOKENS = 60000  # a minute of work at 1 ms per token


def engine_running(target):
    text = harness.call(target["backend"], "GET", "/metrics").body.decode()
    return int(text.split("engine_running ")[1].split()[0])


def send_and_leave(entry, path, body, headers, leave_after):
    host, port = entry["callers"].rsplit(":", 1)
    data = body if isinstance(body, str) else json.dumps(body)
    lines = ["POST %s HTTP/1.1" % path, "host: entry",
             "content-length: %d" % len(data)]
    lines += ["%s: %s" % each for each in headers.items()]
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(("\r\n".join(lines) + "\r\n\r\n" + data).encode())
        leave_after()


def body(cluster):
    entry = cluster.add_entry("entry-0")
    target = cluster.add_target("target-0", "drafting")
    ledger = cluster.add_target("ledger-0", "ledger", kind="service")
    cluster.start_platform()
    cluster.start_host_list()
    cluster.start_hosts(work_ms=1500)
    version = cluster.make_version("v1", "breakdowns", 1 << 20)
    harness.declare_service(cluster)
    cluster.apply([
        {"kind": "model", "name": "breakdowns", "spec": {}}, version,
        {"kind": "pool", "name": "drafting", "spec": {"version": "v1"}},
        {"kind": "route", "name": "breakdowns", "spec": {"pool": "drafting"}}])
    harness.wait_open(cluster, 2)
    headers = {"x-organisation": "acme", "x-timeout-ms": "120000"}
    for stream in (True, False):
        def leave():
            harness.wait_for("the engine to run",
                             lambda: engine_running(target) == 1)
        send_and_leave(entry, "/v1/completions",
                       {"model": "breakdowns", "prompt": "x",
                        "max_tokens": TOKENS, "stream": stream},
                       headers, leave)
        harness.wait_for("the engine to stop, stream=%s" % stream,
                         lambda: engine_running(target) == 0, 15)
    once = dict(headers, **{"x-idempotent": "false",
                            "idempotency-key": "left"})
    send_and_leave(entry, "/services/fee-ledger/confirm", "{}", once,
                   lambda: harness.wait_for("the call to run", lambda:
                       harness.service_runs(ledger).get("left") == 1))
    harness.wait_for("the recorded answer", lambda: harness.confirm(
        entry, "left").outcome == "completed")
    assert harness.service_runs(ledger)["left"] == 1


harness.run_case(body)
