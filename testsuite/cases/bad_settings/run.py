"""Invalid settings stop a program at start, with path, value and allowed range.

Guards against a misspelt key or a value out of range that is ignored, so that
the program serves with a default that the operator did not choose.
"""

import json
import os
import subprocess

import harness

WRONG = [
    ({"pool": "p"}, "host is missing"),
    ({"host": "h", "pool": "p", "backend": {"capacity": 0}},
     "backend.capacity is 0; allowed: integer from 1 to 100000 requests"),
    ({"host": "h", "pool": "p", "backend": {"kind": "other"}},
     'backend.kind is "other"; allowed: one of engine, service'),
    ({"host": "h", "pool": "p", "listn": 1}, "listn is unknown"),
    ({"host": "h", "pool": "p", "lisen": {}}, "lisen is unknown"),
    ({"host": "h", "pool": "p", "listen": {"peers": "localhost:1"}},
     "allowed: IP:port"),
]


def run(cluster):
    path = cluster.path("settings.json")
    for settings, wanted in WRONG:
        with open(path, "w") as file:
            json.dump(settings, file)
        for command in ([cluster.program("vltarget"), "-s", path],
                        [cluster.program("vlctl"), "check-settings",
                         "vltarget", path]):
            done = subprocess.run(command, capture_output=True, text=True,
                                  timeout=20)
            assert done.returncode == 2, (command, done)
            assert wanted in done.stderr, (wanted, done.stderr)
            assert done.stderr.count("\n") == 1, done.stderr
    with open(path, "w") as file:
        file.write("{")
    done = subprocess.run([cluster.program("vlentry"), "-s", path],
                          capture_output=True, text=True, timeout=20)
    assert done.returncode == 2 and "one JSON object" in done.stderr
    assert not os.path.exists(cluster.path("missing.json"))
    done = subprocess.run([cluster.program("vlentry"), "-s",
                           cluster.path("missing.json")],
                          capture_output=True, text=True, timeout=20)
    assert done.returncode == 2 and "can't be opened" in done.stderr


harness.run_case(run)
