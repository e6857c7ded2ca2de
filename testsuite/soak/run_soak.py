"""Runs real programs under random faults and checks the promises to callers.

    python3 testsuite/soak/run_soak.py --bin build --seeds 50

Each run prints its seed. A run that breaks a promise also prints its plan of
faults and keeps its logs; add its seed to seeds.txt, with the cause.
"""

import argparse
import collections
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
from soak.deployment import FULL, SMALL, Deployment, Size  # noqa: E402
from soak.injector import Injector  # noqa: E402

# Upper limits of the options. The number of a host is one byte of its IP
# address, and one machine runs a few hundred processes.
MOST = {"entries": 60, "engines": 60, "plain": 20, "callers": 400, "slots": 64,
        "event": 1000}
SEEDS = os.path.join(os.path.dirname(os.path.abspath(__file__)), "seeds.txt")


def play(cluster, run):
    """Executes a run; returns a line for each broken promise."""
    seed, seconds, planned, size, limits, statements, returns, regions, \
        failures = run
    plan = fault_plan.draw(seed, seconds, planned)
    if limits:
        plan += fault_plan.draw_limits(seed, seconds)
    if statements:
        plan += fault_plan.draw_statements(seed, seconds)
    if returns:
        plan += fault_plan.draw_returns(seed, seconds)
    if failures:
        plan += fault_plan.draw_failures(seed, seconds)
    if regions:
        plan += fault_plan.draw_evacuations(seed, seconds)
    deployment = Deployment(cluster, size)
    if regions:
        deployment.restrict_regions()
    deployment.start()
    callers = Callers(deployment, seed, size.callers)
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


def play_alone(bin_folder, run):
    """Executes a run in its own folder; returns whether no promise broke."""
    work = tempfile.mkdtemp(prefix="verbenalead-soak-")
    cluster = harness.Cluster(bin_folder, work)
    try:
        broken = play(cluster, run)
    finally:
        cluster.stop()
    if broken:
        print("logs:", work, flush=True)
        return False
    shutil.rmtree(work, ignore_errors=True)
    return True


Run = collections.namedtuple("Run", "seed seconds planned size limits "
                             "statements returns regions failures")


def run_of(seed, seconds, planned, limits=False, statements=False,
           returns=False, regions=False, failures=False):
    return Run(seed, seconds, planned, FULL if planned else SMALL, limits,
               statements, returns, regions, failures)


def kept_runs():
    """Returns the runs of seeds.txt, each of which once broke a promise."""
    with open(SEEDS) as file:
        lines = [line.split("#")[0].split() for line in file]
    return [run_of(int(line[0]), float(line[1]), "planned" in line[2:],
                   "limits" in line[2:], "statements" in line[2:],
                   "returns" in line[2:], "regions" in line[2:],
                   "failures" in line[2:])
            for line in lines if line]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--seed", type=int, help="the first; default: random")
    parser.add_argument("--kept", action="store_true",
                        help="the seeds that broke a promise once")
    parser.add_argument("--planned", action="store_true",
                        help="planned work and pauses of replicas only, on a "
                        "full pool: no cut is excused")
    parser.add_argument("--limits", action="store_true",
                        help="replicas name rate limits, which change")
    parser.add_argument("--statements", action="store_true",
                        help="replicas leave and ask for rests in their "
                        "answers")
    parser.add_argument("--returns", action="store_true",
                        help="the store comes back from older copies")
    parser.add_argument("--regions", action="store_true",
                        help="a route names a region, and the operator "
                        "evacuates data centres")
    parser.add_argument("--failures", action="store_true",
                        help="replicas end some runs with a status of their "
                        "own, such as 503")
    for field in Size._fields:
        parser.add_argument("--" + field, type=int, help="default: %d, with "
                            "--planned %d" % (getattr(SMALL, field),
                                              getattr(FULL, field)))
    options = parser.parse_args()
    size = FULL if options.planned else SMALL
    size = size._replace(**{
        field: getattr(options, field) for field in Size._fields
        if getattr(options, field) is not None})
    if options.returns and options.regions:
        # A copy may lack the row of an evacuation, which then ends rightly.
        parser.error("--returns and --regions exclude each other")
    for field, value in size._asdict().items():
        if not 1 <= value <= MOST[field]:
            parser.error("--%s is %d: 1 to %d are allowed" % (
                field, value, MOST[field]))
    first = options.seed or random.SystemRandom().randrange(1, 1 << 31)
    runs = kept_runs() if options.kept else [
        Run(first + number, options.seconds, options.planned, size,
            options.limits, options.statements, options.returns,
            options.regions, options.failures)
        for number in range(options.seeds)]
    failed = [run.seed for run in runs if not play_alone(options.bin, run)]
    print("%d runs, failed: %s" % (len(runs), failed or "none"))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
