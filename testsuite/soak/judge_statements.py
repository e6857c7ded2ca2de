"""Judges whether entries kept to what replicas stated in their answers.

Works on the logs of the replicas, which outlive their processes. A restart,
freeze or disturbed link of the entry or of the replica excuses what lies behind
it.
"""

import collections
import re

import statement_judge

ATTEMPT = re.compile(
    r"event=attempt call=(\S+) replica=(\S+) .* leaving=(\w+) rest_ms=(\d+)")
ARRIVED = re.compile(
    r"event=arrived call=(\S+) started_ms=(\d+) at_ms=(\d+) "
    r"said_leaving=(\w+) retry_after=(\S+)")


def read_calls(lines):
    """Returns the calls of each process of a replica, by its start."""
    calls = collections.defaultdict(list)
    for line in lines:
        found = ARRIVED.search(line)
        if found:
            call, started, at_ms, leaving, rest = found.groups()
            calls[started].append({
                "call": call, "at_ms": int(at_ms),
                "said_leaving": leaving == "true",
                "retry_after": rest.strip('"')})
    return calls


def heard_statements(lines):
    """Calls, with their replicas, whose answers told an entry something.

    A replica that was frozen answers calls that their entries have given up.
    """
    heard = set()
    for line in lines:
        found = ATTEMPT.search(line)
        if found and (found.group(3) == "true" or found.group(4) != "0"):
            heard.add((found.group(1), found.group(2)))
    return heard


def undisturbed(log, entry_of, harmed):
    """`log` without the calls that a disturbance excuses.

    `harmed` maps the names of entries to times; the replica's own stand under
    None. After a disturbance an entry is another one: it may have forgotten.
    """
    kept = []
    for call in log:
        entry = entry_of.get(call["call"])
        times = harmed.get(entry, []) + harmed.get(None, [])
        if entry and not any(begin <= call["at_ms"] <= end
                             for begin, end in times):
            epoch = sum(end < call["at_ms"] for _, end in times)
            kept.append((call, "%s/%d" % (entry, epoch)))
    return kept


def find_ignored(name, lines, entry_of, harmed, heard):
    """Returns a line for each statement of replica `name` that was ignored.

    `heard` has the calls whose answers told an entry of a statement.
    """
    ignored = []
    for log in read_calls(lines).values():
        for call in log:
            call["heard"] = call["call"] in heard
        kept = undisturbed(log, entry_of, harmed)
        calls = [call for call, _ in kept]
        epochs = {call["call"]: entry for call, entry in kept}
        for entry, after in statement_judge.sent_to_leaving(calls, epochs):
            ignored.append("%s got a call from %s %d ms after it had told it "
                           "that it leaves" % (name, entry, after))
        count, entry = statement_judge.worst_rest(calls, epochs)
        if count > statement_judge.REST_CALLS:
            ignored.append("%s got %d calls from %s in a rest" % (
                name, count, entry))
    return ignored
