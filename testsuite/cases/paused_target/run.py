"""A target process is paused for a few seconds while streams are under way.

The callers' deadlines are far off, and the engine continues meanwhile: each
caller gets its complete response once the process resumes.
"""

import threading
import time

import harness

TOKENS = 60
TOKEN_US = 50000
PAUSES = (1.0, 2.5, 4.0)


def check_pause(cluster, entry, digest, seconds):
    replies = []
    caller = threading.Thread(target=lambda: replies.append(harness.completion(
        entry, "breakdowns", "x", TOKENS, stream=True)))
    caller.start()
    time.sleep(1)
    cluster.processes["draft-0"].freeze()
    time.sleep(seconds)
    cluster.processes["draft-0"].wake()
    caller.join()
    expected = harness.expected_text(digest, "x", TOKENS)
    assert harness.streamed_text(replies[0]) == expected, \
        (seconds, replies[0].status, replies[0].body)


def body(cluster):
    entry = cluster.add_entry("entry-0")
    cluster.add_target("draft-0", "drafting")
    cluster.start_platform()
    cluster.start_host_list()
    cluster.start_hosts(token_us=TOKEN_US)
    digest = harness.declare_model(cluster)
    harness.wait_open(cluster, 1)
    for seconds in PAUSES:
        check_pause(cluster, entry, digest, seconds)
        harness.wait_open(cluster, 1)


harness.run_case(body)
