"""Malformed requests are refused and do not affect other callers.

Malformed HTTP, a header and a body past the limits, JSON of the wrong shape,
unknown models and organisations: each is refused as not run, with a reason. The
process keeps running and serves the other callers meanwhile.
"""

import json
import socket
import threading

import harness

HEADERS = {"x-organisation": "acme", "content-type": "application/json"}


def raw(entry, data):
    """Sends raw bytes; returns the status and the body of the response."""
    host, port = entry["callers"].rsplit(":", 1)
    with socket.create_connection((host, int(port)), 20) as connection:
        connection.sendall(data)
        answer = b""
        while True:
            piece = connection.recv(65536)
            if not piece:
                break
            answer += piece
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), head.decode().lower(), body


def check_malformed(entry):
    big_header = b"GET / HTTP/1.1\r\nx-big: " + b"a" * 40000 + b"\r\n\r\n"
    big_body = (b"POST /v1/completions HTTP/1.1\r\nx-organisation: acme\r\n"
                b"content-length: 900000000\r\n\r\n" + b"a" * 1000)
    cases = [(b"NONSENSE\r\n\r\n", 400),
             (b"GET / HTTP/9.9\r\n\r\n", 400),
             (b"GET / HTTP/1.1\r\nbad header line\r\n\r\n", 400),
             (b"POST / HTTP/1.1\r\ncontent-length: minus\r\n\r\n", 400),
             (b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nZZ\r\n",
              400),
             (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400),
             (big_header, 431), (big_body, 413)]
    for data, status in cases:
        got, head, body = raw(entry, data)
        assert got == status, (data[:60], got, body)
        assert "x-outcome: refused" in head, head
        assert json.loads(body)["ran"] is False, body


def check_wrong_shape(entry):
    good = {"model": "breakdowns", "prompt": "x"}
    bodies = ["", "{", "[]", "7", "null", "\xff\xfe", '"text"', "[" * 5000,
              json.dumps({"model": 1, "prompt": "x"}),
              json.dumps({"model": "breakdowns"}),
              json.dumps(dict(good, max_tokens=-1)),
              json.dumps(dict(good, max_tokens=1e300)),
              json.dumps(dict(good, max_tokens="8")),
              json.dumps(dict(good, stream="yes"))]
    for body in bodies:
        reply = harness.call(entry["callers"], "POST", "/v1/completions",
                             body.encode("latin-1"), HEADERS)
        assert reply.status == 400, (body[:40], reply.status, reply.body)
        assert reply.outcome == "refused", reply.headers


def check_unknown(entry):
    good = {"model": "breakdowns", "prompt": "x"}
    for headers, body, status in [
            (HEADERS, dict(good, model="no-such"), 404),
            (dict(HEADERS, **{"x-organisation": "nobody"}), good, 404),
            ({}, good, 400),
            (dict(HEADERS, **{"x-timeout-ms": "soon"}), good, 400),
            (dict(HEADERS, **{"x-idempotent": "maybe"}), good, 400),
            (dict(HEADERS, **{"x-idempotent": "false"}), good, 400),
            (dict(HEADERS, **{"x-request-id": "a" * 4000}), good, 400)]:
        reply = harness.call(entry["callers"], "POST", "/v1/completions", body,
                             headers)
        assert reply.status == status, (headers, reply.status, reply.body)
        assert reply.outcome == "refused", reply.headers
    reply = harness.call(entry["callers"], "GET", "/nowhere", None, HEADERS)
    assert reply.status == 404 and reply.outcome == "refused"


def body(cluster):
    entry = cluster.add_entry("entry-0")
    target = cluster.add_target("target-0", "drafting")
    cluster.start_platform()
    cluster.start_host_list()
    cluster.start_hosts()
    harness.declare_model(cluster)
    harness.wait_open(cluster, 1)
    stop = threading.Event()
    others = []

    def other():
        while not stop.is_set():
            others.append(harness.completion(entry, "breakdowns", "y").outcome)

    thread = threading.Thread(target=other)
    thread.start()
    try:
        check_malformed(entry)
        check_wrong_shape(entry)
        check_unknown(entry)
    finally:
        stop.set()
        thread.join()
    assert set(others) == {"completed"}, set(others)
    assert all(process.alive() for process in cluster.processes.values())
    runs = harness.call(target["backend"], "GET", "/runs").json()
    assert sum(runs.values()) == len(others), (runs, len(others))


harness.run_case(body)
