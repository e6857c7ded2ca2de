"""An accepted change outlives its entry and the table, and is never reverted.

While no other process can be reached, the operator gets 202: the change is
committed, but would be hidden if this entry were lost. Otherwise the operator
gets 200; at that moment the table goes down and the entry that accepted the
change is killed. The other entries and all targets must put the change into
force, since peers held it before the response. The entry restarts while the
table is still down. It learns the change from peers before it serves, and
serves no call while no peer responds. Meanwhile changes are refused with a
reason, and calls that need no claim continue. When the table and all other
processes are unreachable, the entry accepts no new work; when they are back,
changes are accepted again.
"""

import fleet
import harness

ENTRIES = 8
TARGETS = 24


def read_fee(entry):
    # A call that was sent to a frozen target just before the entry is isolated
    # is answered only at its deadline, which therefore has to be short.
    return harness.call(entry["callers"], "GET", "/services/fee-ledger/fees/1",
                        None, {"x-organisation": "acme",
                               "x-timeout-ms": "2000"}, timeout=10)


def others(cluster, name):
    return [process for each, process in cluster.processes.items()
            if each.startswith(("entry", "target")) and each != name]


def not_learned(entry):
    return (read_fee(entry).headers.get("x-reason")
            == "configuration_not_learned")


def check_hidden_change_is_told(cluster):
    for process in others(cluster, "entry-0"):
        process.freeze()
    reply = fleet.put(cluster.entries[0], "limits", "acme", {"weight": 6},
                      "op-hidden")
    for process in others(cluster, "entry-0"):
        process.wake()
    assert reply.status == 202, (reply.status, reply.body)
    assert reply.json()["held_by"] == 0, reply.body
    fleet.Watchers(cluster).in_force_everywhere(reply.json()["revision"],
                                                TARGETS)


def check_accepted_outlives_entry(cluster):
    reply = fleet.put(cluster.entries[0], "limits", "acme", {"weight": 7}, "op")
    cluster.faults(cluster.table, down=True)
    cluster.processes["entry-0"].kill()
    assert reply.status == 200, (reply.status, reply.body)
    assert reply.json()["held_by"] >= 2, reply.body
    revision = reply.json()["revision"]
    took = fleet.Watchers(cluster).in_force_everywhere(
        revision, TARGETS, ["entry-0"])
    print("in force on the others %.2f s after entry and table were lost" % took)
    return revision


def check_restart_without_table(cluster, revision):
    for process in others(cluster, "entry-0"):
        process.freeze()
    cluster.restart("entry-0")
    entry = cluster.entries[0]
    cluster.wait_listening(entry["callers"])
    assert not_learned(entry)
    for process in others(cluster, "entry-0"):
        process.wake()
    seen = []

    def serves():
        served = read_fee(entry).status == 200
        if served:
            seen.append(fleet.revision_of(entry))
        return served

    harness.wait_for("the restarted entry to serve", serves, 15)
    assert seen[0] >= revision, (seen, revision)


def check_refused_with_reason(cluster):
    reply = fleet.put(cluster.entries[1], "limits", "acme", {"weight": 8},
                      "op-refused")
    assert reply.status == 503 and b"table" in reply.body, reply.body
    for entry in cluster.entries:
        assert read_fee(entry).status == 200, entry["name"]


def check_cut_off(cluster):
    for process in others(cluster, "entry-2"):
        process.freeze()
    harness.wait_for("entry-2 to take no new work",
                     lambda: not_learned(cluster.entries[2]), 30)
    for process in others(cluster, "entry-2"):
        process.wake()


def check_recovery(cluster):
    cluster.faults(cluster.table)
    harness.wait_for("changes to be accepted again", lambda: fleet.put(
        cluster.entries[3], "limits", "acme", {"weight": 9},
        "op-after").status == 200, 15)
    revision = fleet.revision_of(cluster.entries[3])
    fleet.Watchers(cluster).in_force_everywhere(revision, TARGETS)
    for entry in cluster.entries:
        harness.wait_for("all to serve", lambda: read_fee(entry).status == 200,
                         15)


def body(cluster):
    fleet.start(cluster, ENTRIES, TARGETS, log_level="info")
    fleet.declare(cluster)
    fleet.Watchers(cluster).in_force_everywhere(3, TARGETS)
    check_hidden_change_is_told(cluster)
    revision = check_accepted_outlives_entry(cluster)
    check_restart_without_table(cluster, revision)
    check_refused_with_reason(cluster)
    check_cut_off(cluster)
    check_recovery(cluster)


if __name__ == "__main__":
    harness.run_case(body)
