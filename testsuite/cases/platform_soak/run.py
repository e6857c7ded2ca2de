"""Short soak run with overlapping series of faults.

Callers continue while processes are killed, stopped and frozen, links are cut,
silenced and slowed, and the store fails in its ways. Each caller gets a
complete response of one replica or a truthful refusal, no payment runs twice,
no removed key is accepted after its bound, and the system recovers. Then plays a
run in which replicas name rate limits that change, one in which they leave and
ask for rests in their answers alone, one in which the store comes back from older
copies, one in which a route names a region and the operator evacuates data
centres, and repeats each seed that once broke a promise.
"""

import sys

import harness
from soak import run_soak

# This seed detects two faults: with a lease on keys of three times the bound,
# calls with a removed key run, and with retried payments, payments run twice.
SEED = 7104
SECONDS = 20
# In this run replicas name rate limits as well.
LIMITS_SEED = 9001
# In this one they leave and ask for rests in their answers.
STATEMENTS_SEED = 9101
# In this one the store comes back from older copies.
RETURNS_SEED = 45003
# In this one data centres are evacuated, and some calls may go to one only.
REGIONS_SEED = 51002


def body(cluster):
    assert not run_soak.play(cluster, run_soak.run_of(SEED, SECONDS, False))
    for run in [run_soak.run_of(LIMITS_SEED, SECONDS, False, limits=True),
                run_soak.run_of(STATEMENTS_SEED, SECONDS, False,
                                statements=True),
                run_soak.run_of(RETURNS_SEED, SECONDS, False,
                                returns=True),
                run_soak.run_of(REGIONS_SEED, SECONDS, False,
                                regions=True)] + run_soak.kept_runs():
        assert run_soak.play_alone(cluster.bin, run), run


if __name__ == "__main__":
    sys.exit(harness.run_case(body))
