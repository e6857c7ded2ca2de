"""Runs the benchmark programs of one make target."""

import argparse
import os
import subprocess
import sys

PROGRAMS = {
    "bench-requests": ["routing_bench", "place_bench"],
}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("target")
    parser.add_argument("--bin", default="build")
    arguments = parser.parse_args()
    programs = PROGRAMS.get(arguments.target)
    if programs is None:
        print("no benchmark for %s yet" % arguments.target)
        return 0
    for program in programs:
        done = subprocess.run([os.path.join(arguments.bin, "src", program)])
        if done.returncode != 0:
            return done.returncode
    return 0


if __name__ == "__main__":
    sys.exit(main())
