"""A frozen vltarget resumes after another process has ordered its engine.

No caller may get text of a version that its response does not name. Process A
is frozen with its gate open for v1. A second process B of the same host, on
other ports, orders the same engine, which ignores fencing numbers, to load v2.
A resumes and serves: its first response names v2, so its gate shuts and it
polls the engine. Then B dies and v3 is declared: A finds B's fencing number,
sends no further order and stops serving.
"""

import copy
import json

import harness
from steady_callers import SteadyCallers

POOL = "drafting"
MODEL_BYTES = 8 << 20
TIMEOUT = 90


def declare_pool(cluster, version):
    cluster.apply({"kind": "pool", "name": POOL, "spec": {
        "version": version, "rollout": {"max_unavailable_percent": 50}}})


def engine_digest(target):
    models = harness.call(target["backend"], "GET", "/v1/models").json()["data"]
    return models[0]["digest"] if models else ""


def start_second_process(cluster, target):
    settings = copy.deepcopy(target["settings"])
    peers, weights = ["127.0.0.1:%d" % port for port in harness.free_ports(2)]
    settings["listen"] = {"peers": peers, "weights": weights}
    cluster.start("second-process", "vltarget", settings)


def stage_of(cluster, name):
    done = cluster.vlctl("-o", "json", "rollout", "status", POOL)
    return {host["host"]: host["stage"]
            for host in json.loads(done.stdout)["hosts"]}[name]


def body(cluster):
    cluster.add_entry("entry-0")
    for number in range(2):
        cluster.add_target("target-%d" % number, POOL)
    cluster.start_platform()
    cluster.start_host_list()
    cluster.start_hosts()
    versions = [cluster.make_version("v%d" % number, "breakdowns", MODEL_BYTES,
                                     seed=number) for number in (1, 2, 3)]
    v1, v2, v3 = [version["spec"]["digest"] for version in versions]
    cluster.apply(versions + [
        {"kind": "limits", "name": "acme", "spec": {"weight": 1}}])
    declare_pool(cluster, "v1")
    cluster.apply({"kind": "route", "name": "breakdowns",
                   "spec": {"pool": POOL}})
    harness.wait_for("v1 everywhere",
                     lambda: len(cluster.live(v1)) == 2, TIMEOUT)
    host = cluster.targets[0]
    cluster.faults(host["backend"], ignore_fence=True)
    with SteadyCallers(cluster, "breakdowns", {v1, v2, v3}) as callers:
        cluster.processes["target-0"].freeze()
        start_second_process(cluster, host)
        declare_pool(cluster, "v2")
        harness.wait_for("the engine has v2",
                         lambda: engine_digest(host) == v2, TIMEOUT)
        cluster.processes["target-0"].wake()
        harness.wait_for("A found out what its engine serves",
                         lambda: len(cluster.live(v2)) == 2, TIMEOUT)
        # If B stayed alive, it might load v3 before A needs a fencing number.
        cluster.processes["second-process"].kill()
        declare_pool(cluster, "v3")
        harness.wait_for("A was deposed",
                         lambda: stage_of(cluster, "target-0") == "deposed",
                         TIMEOUT)
        harness.wait_for("v3 on the other host",
                         lambda: "target-1" in cluster.live(v3), TIMEOUT)
        assert engine_digest(host) == v2, "A gave an order"
    print("outcomes %s" % callers.outcomes)
    assert not callers.wrong, callers.wrong[:5]
    assert {v1, v2} <= set(callers.served), callers.served


harness.run_case(body)
