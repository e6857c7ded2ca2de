"""A request crashes each engine that runs it, and its caller sends it again.

The caller gets `failed` or `unknown` first, then, through whichever entry it
tries, `refused` at once: two engines crashed under the request, so it is set
aside on every entry. Without the news between entries each of the three would
let it take two more engines, and the pool would be gone. Other callers are
served throughout.
"""

import harness

ENGINES = 8
POISON = "poison: scene 13"


def alive(cluster):
    return sum(cluster.processes["target-%d-backend" % number].alive()
               for number in range(ENGINES))


def body(cluster):
    for number in range(3):
        cluster.add_entry("entry-%d" % number)
    for number in range(ENGINES):
        cluster.add_target("target-%d" % number, "drafting")
    cluster.start_platform()
    cluster.start_host_list()
    cluster.start_hosts()
    digest = harness.declare_model(cluster)
    for entry in range(3):
        harness.wait_for("all live", lambda: len(
            cluster.live(digest, entry)) == ENGINES, 60)
    for target in cluster.targets:
        cluster.faults(target["backend"], crash_on="poison")
    told = []
    for number in range(12):
        reply = harness.completion(cluster.entries[number % 3], "breakdowns",
                                   POISON)
        told.append(reply.outcome)
        assert reply.outcome in ("failed", "unknown", "refused"), reply.body
        other = harness.completion(cluster.entries[number % 3], "breakdowns",
                                   "scene %d" % number)
        assert other.outcome == "completed", (told, other.body)
    assert told[-6:] == ["refused"] * 6, told
    # Two crashes set it aside; a third may be under way while the news travels.
    assert alive(cluster) >= ENGINES - 3, (told, alive(cluster))


harness.run_case(body)
