"""Runs CTest and tolerates the failures that KNOWN-RED.txt lists.

    run_ctest.py BUILD [LABEL]

With a label, runs only the tests that have it. Each line of the file starts
with the name of a CTest test; after a colon it gives the symptom, the cause and
the issue. At most three lines are allowed. Listed tests still run, and their
results are printed.

A line that starts with `incident` and a test's name lists the failing test of an
incident whose fix has yet to follow. There may be one beside the three others, so
that it drops none of them.
"""

import os
import subprocess
import sys

MOST_KNOWN_RED = 3
MOST_INCIDENTS = 1
INCIDENT = "incident "


def known_red():
    if not os.path.exists("KNOWN-RED.txt"):
        return {}
    with open("KNOWN-RED.txt") as file:
        lines = [line.strip() for line in file]
    lines = [line for line in lines if line and not line.startswith("#")]
    incidents = [line for line in lines if line.startswith(INCIDENT)]
    if len(incidents) > MOST_INCIDENTS:
        sys.exit("KNOWN-RED.txt lists more than one test of an incident")
    if len(lines) - len(incidents) > MOST_KNOWN_RED:
        sys.exit("KNOWN-RED.txt lists more than three tests")
    return {line.removeprefix(INCIDENT).split(":", 1)[0].strip(): line
            for line in lines}


def main():
    build = sys.argv[1]
    command = ["ctest", "--test-dir", build, "--output-on-failure"]
    if len(sys.argv) > 2:
        command += ["-L", "^%s$" % sys.argv[2]]
    jobs = ["-j", str(max(2, (os.cpu_count() or 2) // 2))]
    red = known_red()
    for name, line in red.items():
        pattern = "^%s$" % name
        done = subprocess.run(command + ["-R", pattern])
        print("KNOWN RED %s: %s" % (
            "still fails" if done.returncode else "passes now", line))
    if red:
        command += ["-E", "^(%s)$" % "|".join(red)]
    return subprocess.run(command + jobs).returncode


if __name__ == "__main__":
    sys.exit(main())
