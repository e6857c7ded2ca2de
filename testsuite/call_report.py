"""Reports, from entries' logs, which calls were on time, late, refused or cut.

    python3 testsuite/call_report.py entry-1.log entry-2.log ...

Each file is the log of one entry; `-` reads standard input. Prints tables by
second, route, size of the prompt and data centre, and the most frequent reasons
why calls were not on time.
"""

import collections
import re
import sys

FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
PEER = re.compile(r"^[A-Z]+ \S+ with \S+: ")
TIME = re.compile(r"time=\S*T(\d\d):(\d\d):(\d\d)")
# Lower bounds of the size classes, in prompt tokens.
SIZES = (0, 500, 1000, 2000, 4000)
# A stream with a longer pause between two events counts as late.
LONGEST_PAUSE_MS = 400


def fields(line):
    return {name: value.strip('"') for name, value in FIELD.findall(line)}


def outcome(call):
    """Returns the outcome of a call, and why it was not on time."""
    if call["outcome"] != "delivered":
        return call["outcome"], PEER.sub("", call.get("reason", ""))
    first = int(call.get("first_event_ms", -1))
    took = first if first >= 0 else int(call["ms"])
    objective = int(call.get("objective_ms", 0))
    if objective and took > objective:
        if call.get("fresh") == "false":
            return "late", "a second try"
        if int(call.get("waited_ms", 0)) > objective // 4:
            return "late", "waited for a place"
        if int(call["attempts"]) > 1:
            return "late", "went to another replica"
        return "late", "the replica was slow to begin"
    if int(call.get("longest_pause_ms", 0)) > LONGEST_PAUSE_MS:
        more = "broken off" if int(call["attempts"]) > 1 else "not broken off"
        return "late", "a pause, " + more
    return "on_time", ""


def size_class(call):
    tokens = int(call.get("prompt_tokens", 0))
    return "%d+" % max(size for size in SIZES if size <= tokens)


def read(lines, calls, data_center=""):
    """Appends the calls of one entry's log to `calls`."""
    for line in lines:
        if "event=starting" in line:
            data_center = fields(line).get("data_center", data_center)
        if "event=call " not in line:
            continue
        call = fields(line)
        if "route" not in call:
            # Refused before a route was found.
            call["route"], call["attempts"] = "-", "0"
        at = TIME.search(line)
        call["second"] = ":".join(at.groups()) if at else "-"
        call["data_center"] = data_center
        calls.append(call)


def table(title, calls, key):
    counts = collections.defaultdict(collections.Counter)
    for call in calls:
        counts[key(call)][outcome(call)[0]] += 1
    kinds = ("on_time", "late", "refused", "cut", "unknown", "caller_gone")
    print("%-24s %8s %s" % (title, "asked", " ".join(
        "%11s" % kind for kind in kinds)))
    for name in sorted(counts):
        count = counts[name]
        print("%-24s %8d %s" % (name, sum(count.values()), " ".join(
            "%11d" % count[kind] for kind in kinds)))
    print()


def report(calls):
    table("second", calls, lambda call: call["second"])
    table("route", calls, lambda call: call["route"])
    table("prompt tokens", calls, size_class)
    table("data centre", calls, lambda call: call["data_center"])
    reasons = collections.Counter(
        outcome(call) for call in calls if outcome(call)[0] != "on_time")
    for (kind, reason), count in reasons.most_common(20):
        print("%8d %-12s %s" % (count, kind, reason))


def main():
    calls = []
    for name in sys.argv[1:] or ["-"]:
        if name == "-":
            read(sys.stdin, calls)
            continue
        with open(name, errors="replace") as file:
            read(file, calls)
    report(calls)


if __name__ == "__main__":
    main()
