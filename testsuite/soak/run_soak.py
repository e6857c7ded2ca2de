"""Runs real programs under random faults and checks what callers were promised.

    python3 testsuite/soak/run_soak.py --bin build --seeds 50

Each run prints its seed; one that breaks a promise prints the plan of its
faults and keeps its logs. Such a seed goes into seeds.txt, with its cause.
"""

import argparse
import os
import random
import shutil
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

import harness  # noqa: E402
from soak import fault_plan, promises  # noqa: E402
from soak.callers import Callers  # noqa: E402
from soak.deployment import Deployment  # noqa: E402
from soak.injector import Injector  # noqa: E402

SEEDS = os.path.join(os.path.dirname(os.path.abspath(__file__)), "seeds.txt")
CALLERS = 6


def play(cluster, seed, seconds):
    """One run; returns a line for each broken promise."""
    plan = fault_plan.draw(seed, seconds)
    deployment = Deployment(cluster)
    deployment.start()
    callers = Callers(deployment, seed, CALLERS)
    injector = Injector(deployment, plan, callers.probe_guest)
    callers.start()
    broken = []
    try:
        injector.run()
        time.sleep(max(0, seconds - injector.now()))
        promises.settle(deployment, injector)
    except (AssertionError, OSError) as failure:
        broken.append(str(failure))
    finally:
        callers.stop()
    broken += promises.find_broken(deployment, callers.outcomes, injector)
    print("seed %d: %d calls, %.0f%% served, %d faults, %d broken" % (
        seed, len(callers.outcomes),
        100 * promises.served_share(callers.outcomes), len(plan),
        len(broken)), flush=True)
    if broken:
        print("plan:", injector.describe(plan))
        print(*broken[:20], sep="\n", flush=True)
    return broken


def play_alone(bin_folder, seed, seconds):
    """One run in a folder of its own; true if it kept all promises."""
    work = tempfile.mkdtemp(prefix="verbenalead-soak-")
    cluster = harness.Cluster(bin_folder, work)
    try:
        broken = play(cluster, seed, seconds)
    finally:
        cluster.stop()
    if broken:
        print("logs:", work, flush=True)
        return False
    shutil.rmtree(work, ignore_errors=True)
    return True


def kept_seeds():
    """Seeds that broke a promise once, each with the length of its run."""
    with open(SEEDS) as file:
        lines = [line.split("#")[0].split() for line in file]
    return [(int(line[0]), float(line[1])) for line in lines if line]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--seed", type=int, help="the first; default: random")
    parser.add_argument("--kept", action="store_true",
                        help="the seeds that broke a promise once")
    options = parser.parse_args()
    first = options.seed or random.SystemRandom().randrange(1, 1 << 31)
    runs = kept_seeds() if options.kept else [
        (first + number, options.seconds) for number in range(options.seeds)]
    failed = [seed for seed, seconds in runs
              if not play_alone(options.bin, seed, seconds)]
    print("%d runs, failed: %s" % (len(runs), failed or "none"))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
