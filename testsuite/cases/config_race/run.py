"""Eight operators write concurrently through eight entries.

Each operator increments the same counter by compare-and-swap, while the table
loses responses after the writes took effect. The loser of a race gets the
winner's revision, operation and operator. No update is lost or applied twice, a
repeated operation returns the revision of the first, and a watch sees each
change once.
"""

import json
import threading

import fleet
import harness

ENTRIES = 8
TARGETS = 24
EACH = 10


class Operator:
    """Increments the counter through one entry until EACH writes succeeded."""

    def __init__(self, cluster, number):
        self.cluster = cluster
        self.entry = cluster.entries[number]
        self.name = "operator-%d" % number
        self.conflicts = []
        self.revisions = {}

    def write(self, operation, spec, match):
        """Repeats the operation until its outcome is known."""
        while True:
            reply = fleet.put(self.entry, "limits", "counter", spec, operation,
                              self.name, match)
            if reply.status not in (503, 504):
                return reply

    def run(self):
        attempts = 0
        while len(self.revisions) < EACH:
            now = harness.call(self.entry["operators"], "GET",
                               "/v1/resources/limits/counter").json()
            spec = {"weight": 1, "max_queued": now["spec"]["max_queued"] + 1}
            attempts += 1
            operation = "%s-%d" % (self.name, attempts)
            reply = self.write(operation, spec, now["revision"])
            if reply.status == 409:
                self.conflicts.append(reply.json()["error"])
            else:
                assert reply.status in (200, 202), reply.body
                self.revisions[operation] = (reply.json()["revision"], spec,
                                             now["revision"])


def body(cluster):
    fleet.start(cluster, ENTRIES, TARGETS)
    fleet.put(cluster.entries[0], "limits", "counter",
              {"weight": 1, "max_queued": 0}, "start")
    fleet.Watchers(cluster).in_force_everywhere(1, TARGETS)
    operators = [Operator(cluster, number) for number in range(ENTRIES)]
    threads = [threading.Thread(target=each.run) for each in operators]
    for thread in threads:
        thread.start()
    while any(thread.is_alive() for thread in threads):
        cluster.faults(cluster.table, lose_answers=1)
        threads[0].join(0.05)
        threads[-1].join(0.05)
    cluster.faults(cluster.table)
    for thread in threads:
        thread.join()
    done = [revision for each in operators
            for revision, _, _ in each.revisions.values()]
    assert len(set(done)) == ENTRIES * EACH, sorted(done)
    fleet.Watchers(cluster).in_force_everywhere(max(done), TARGETS)
    counter = harness.call(cluster.entries[5]["operators"], "GET",
                           "/v1/resources/limits/counter").json()
    assert counter["spec"]["max_queued"] == ENTRIES * EACH, counter
    for sentence in [text for each in operators for text in each.conflicts]:
        assert "by operation" in sentence and "of operator" in sentence, sentence
    operation, (revision, spec, match) = next(
        iter(operators[0].revisions.items()))
    repeat = fleet.put(cluster.entries[3], "limits", "counter", spec, operation,
                       match=match)
    assert repeat.json()["revision"] == revision, repeat.body
    other = fleet.put(cluster.entries[3], "limits", "counter", {"weight": 2},
                      operation)
    assert other.status == 400, other.body
    watch = cluster.vlctl("watch", "--after", "1", "--count",
                          str(max(done) - 1), entry=4)
    revisions = [json.loads(line)["revision"]
                 for line in watch.stdout.splitlines() if line]
    assert revisions == list(range(2, max(done) + 1)), revisions


if __name__ == "__main__":
    harness.run_case(body)
