"""A version is redeclared with other bytes during its transfer and its load.

First the version gets another digest while chunks of the old one are fetched,
then again while the engine has been ordered to load. No gate may open for the
withdrawn bytes, and none may be mixed in. Chunks of the old digest are
dropped, which also aborts an engine that is reading them.
"""

import harness

POOL = "drafting"
TARGETS = 3
MODEL_BYTES = 24 << 20
ENGINE_DELAY_MS = 1500
TIMEOUT = 90


def log_lines(cluster, *words):
    lines = []
    for target in cluster.targets:
        with open(cluster.path(target["name"] + ".log")) as log:
            lines += [line for line in log
                      if all(word in line for word in words)]
    return lines


def engine_digest(target):
    models = harness.call(target["backend"], "GET", "/v1/models").json()["data"]
    return models[0]["digest"] if models else ""


def body(cluster):
    cluster.add_entry("entry-0")
    for number in range(TARGETS):
        cluster.add_target("target-%d" % number, POOL)
    cluster.start_platform(origin_link=8 << 20)
    cluster.start_host_list()
    cluster.start_hosts()
    versions = [cluster.make_version("v1", "breakdowns", MODEL_BYTES, seed=1)]
    for number in (2, 3):
        version = cluster.make_version("v1-%d" % number, "breakdowns",
                                       MODEL_BYTES, seed=number)
        versions.append(dict(version, name="v1"))
    first, second, third = [each["spec"]["digest"] for each in versions]
    cluster.apply([versions[0], {"kind": "pool", "name": POOL,
                                 "spec": {"version": "v1"}}])
    harness.wait_for("in mid-transfer", lambda: any(
        target["chunks_held"] > 1
        for target in cluster.status()["targets"]), TIMEOUT)
    cluster.apply(versions[1])
    harness.wait_for("the transfer was cancelled",
                     lambda: log_lines(cluster, "transfer_cancelled"), TIMEOUT)
    for target in cluster.targets:
        cluster.faults(target["backend"], delay_ms=ENGINE_DELAY_MS)
    harness.wait_for("in mid-load",
                     lambda: log_lines(cluster, "load_ordered", second),
                     TIMEOUT)
    cluster.apply(versions[2])
    harness.wait_for("the third is live everywhere",
                     lambda: len(cluster.live(third)) == TARGETS, TIMEOUT)
    for target in cluster.targets:
        cluster.faults(target["backend"])
        assert engine_digest(target) == third, target["name"]
    assert not log_lines(cluster, "gate_opened", first), "opened for the first"
    opened = log_lines(cluster, "gate_opened", second)
    print("gates that opened for the second before it was taken back: %d" %
          len(opened))


harness.run_case(body)
