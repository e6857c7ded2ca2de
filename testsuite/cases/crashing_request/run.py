"""A request that crashes engines is refused after two crashes.

The caller sends the request repeatedly through all entries. It gets `failed` or
`unknown` first, and then `refused` at once from every entry, since two engines
crashed while they ran the request. If entries did not share their crash
records, each of the three would let the request crash two more engines, which
would take down the pool. Other callers are served throughout.
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
    reported = []
    for number in range(12):
        reply = harness.completion(cluster.entries[number % 3], "breakdowns",
                                   POISON)
        reported.append(reply.outcome)
        assert reply.outcome in ("failed", "unknown", "refused"), reply.body
        other = harness.completion(cluster.entries[number % 3], "breakdowns",
                                   "scene %d" % number)
        assert other.outcome == "completed", (reported, other.body)
    assert reported[-6:] == ["refused"] * 6, reported
    # The request is refused after two crashes. A third engine may run it before
    # the crash records reach all entries.
    assert alive(cluster) >= ENGINES - 3, (reported, alive(cluster))


harness.run_case(body)
