"""A short run of the soak: series of faults that overlap, from outside.

Callers go on calling while processes are killed, stopped and frozen, links cut,
silenced and slowed, and the store fails in its ways. Whatever they see is a
whole answer of one replica or a true refusal, no payment runs twice, no removed
key runs after its bound, and afterwards all works again. Then the same for each
seed that broke a promise once.
"""

import sys

import harness
from soak import run_soak

# With a lease on keys of thrice the bound this seed shows calls of a removed
# key, and with payments that are sent again it shows payments that ran twice.
SEED = 7104
SECONDS = 20


def body(cluster):
    assert not run_soak.play(cluster, run_soak.run_of(SEED, SECONDS, False))
    for run in run_soak.kept_runs():
        assert run_soak.play_alone(cluster.bin, run), run


if __name__ == "__main__":
    sys.exit(harness.run_case(body))
