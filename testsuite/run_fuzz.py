"""Runs the unit tests repeatedly, with random seeds for their properties.

Prints the seed of each round. `RC_PARAMS="seed=N" build/src/NAME` reproduces a
failure, which should be added as a test.
"""

import argparse
import glob
import os
import random
import subprocess
import sys
import time


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    parser.add_argument("--seconds", type=float, default=60)
    options = parser.parse_args()
    rng = random.SystemRandom()
    tests = sorted(glob.glob(os.path.join(options.bin, "src", "*_test")))
    deadline = time.monotonic() + options.seconds
    rounds = 0
    while time.monotonic() < deadline:
        seed = rng.randrange(1, 1 << 62)
        for test in tests:
            environment = dict(os.environ, RC_PARAMS="seed=%d" % seed)
            done = subprocess.run([test], env=environment,
                                  capture_output=True, text=True)
            if done.returncode != 0:
                print("FAILED seed=%d %s" % (seed, os.path.basename(test)))
                print(done.stdout, done.stderr)
                return 1
            if time.monotonic() >= deadline:
                break
        rounds += 1
        print("round %d seed=%d passed" % (rounds, seed), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
