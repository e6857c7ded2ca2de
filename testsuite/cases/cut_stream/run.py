"""Streams break in the middle because the engine or the target dies.

The caller has received part of its response. It gets an `event: error` that
names the outcome, and the final chunk of the chunked encoding is withheld, so
that no client library takes the part for the whole. No other target generates
the rest.
"""

import threading
import time

import harness

TOKENS = 4000


def stream_until(cluster, entry, act):
    """Calls `act` once the stream has started; returns what was received."""
    replies = []

    def call():
        replies.append(raw_stream(entry))

    thread = threading.Thread(target=call)
    thread.start()
    time.sleep(1)
    act()
    thread.join()
    return replies[0]


def raw_stream(entry):
    import http.client
    import json
    host, port = entry["callers"].rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    connection.request("POST", "/v1/completions", json.dumps(
        {"model": "breakdowns", "prompt": "x", "max_tokens": TOKENS,
         "stream": True}), {"x-organisation": "acme"})
    answer = connection.getresponse()
    data = b""
    cut = False
    try:
        while True:
            piece = answer.read1(65536)
            if not piece:
                break
            data += piece
    except (http.client.IncompleteRead, OSError):
        cut = True
    connection.close()
    return answer.status, data.decode(), cut


def check_cut(reply, outcomes):
    status, text, cut = reply
    assert status == 200 and text.startswith("data: "), text[:80]
    assert "[DONE]" not in text
    assert cut, "the cut stream was shown as an end"
    events = text.strip().split("\n\n")
    assert events[-1].startswith("event: error\n"), events[-1]
    assert any('"outcome":"%s"' % each in events[-1] for each in outcomes), \
        events[-1]


def body(cluster):
    entry = cluster.add_entry("entry-0")
    for number in range(2):
        cluster.add_target("target-%d" % number, "drafting")
    cluster.start_platform()
    cluster.start_host_list()
    cluster.start_hosts()
    harness.declare_model(cluster)
    harness.wait_open(cluster, 2)

    def busy_target():
        for target in cluster.targets:
            if not cluster.processes[target["name"]].alive():
                continue
            text = harness.call(target["backend"], "GET", "/metrics").body
            if b"engine_running 1" in text:
                return target["name"]
        raise AssertionError("no engine runs")

    check_cut(stream_until(cluster, entry, lambda: cluster.processes[
        busy_target() + "-backend"].kill()), ["failed", "unknown"])
    check_cut(stream_until(cluster, entry, lambda: cluster.processes[
        [t["name"] for t in cluster.targets if cluster.processes[
            t["name"] + "-backend"].alive()][0]].kill()), ["unknown"])


harness.run_case(body)
