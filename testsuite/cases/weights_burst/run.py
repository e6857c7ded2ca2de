"""128 MiB reach 24 hosts while hosts die or freeze and chunks are corrupted.

All hosts fetch at once. During the transfer 3 target processes are killed and 2
frozen, and 1 in 100 of the ranges fetched from the origin has a wrong byte. The
frozen processes resume once the others are live. The version must become live
on every host that survived, and no engine may load a byte other than those
declared: each reports the digest of the weights that it read.
"""

import harness

HOSTS = 24
MODEL_BYTES = 128 << 20
POOL = "drafting"
KILLED = {"target-3", "target-9", "target-17"}
FROZEN = {"target-5", "target-20"}
TIMEOUT = 200


def hosts_in_transfer(cluster):
    return sum(1 for target in cluster.status()["targets"]
               if target["chunks_held"] >= 4)


def engine_digest(cluster, target):
    models = harness.call(target["backend"], "GET", "/v1/models").json()["data"]
    return models[0]["digest"] if models else ""


def body(cluster):
    cluster.add_entry("entry-0")
    for number in range(HOSTS):
        cluster.add_target("target-%d" % number, POOL,
                           data_center="mtl-%d" % (number % 3))
    cluster.start_platform(origin_link=64 << 20)
    cluster.start_host_list()
    cluster.start_hosts()
    cluster.faults(cluster.origin, corrupt_percent=1)
    version = cluster.make_version("breakdowns-1", "breakdowns", MODEL_BYTES)
    digest = version["spec"]["digest"]
    cluster.apply([
        {"kind": "limits", "name": "acme", "spec": {"weight": 1}},
        version,
        {"kind": "pool", "name": POOL, "spec": {"version": "breakdowns-1"}},
        {"kind": "route", "name": "breakdowns", "spec": {"pool": POOL}}])
    harness.wait_for("half of the hosts in mid-transfer",
                     lambda: hosts_in_transfer(cluster) >= HOSTS // 2, TIMEOUT)
    assert not cluster.live(digest), "live before the faults began"
    for name in sorted(KILLED):
        cluster.processes[name].kill()
    for name in sorted(FROZEN):
        cluster.processes[name].freeze()
    names = {target["name"] for target in cluster.targets}
    survivors = names - KILLED - FROZEN
    harness.wait_for("live on the survivors",
                     lambda: survivors <= cluster.live(digest), TIMEOUT)
    for name in sorted(FROZEN):
        cluster.processes[name].wake()
    harness.wait_for("live on those that woke",
                     lambda: FROZEN <= cluster.live(digest), TIMEOUT)
    for target in cluster.targets:
        if target["name"] not in KILLED:
            assert engine_digest(cluster, target) == digest, target["name"]
    for number in range(40):
        prompt = "scene %d" % number
        reply = harness.completion(cluster.entries[0], "breakdowns", prompt)
        assert reply.outcome == "completed", (reply.status, reply.body)
        text = reply.json()["choices"][0]["text"]
        assert text == harness.expected_text(digest, prompt, 8), text
    sent = harness.call(cluster.origin, "GET", "/stats").json()["bytes"]
    print("origin sent %.3f copies" % (sent / MODEL_BYTES))


harness.run_case(body)
