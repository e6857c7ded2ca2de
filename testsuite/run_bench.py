"""Runs the programs and scripts of one `make bench-...` target."""

import argparse
import os
import subprocess
import sys

HERE = os.path.dirname(os.path.abspath(__file__))

# Scripts are below testsuite/bench, programs in the build's src folder.
TARGETS = {
    "bench-weights": [],
    "bench-requests": [],
    "bench-config": ["config.py"],
    "bench-capacity": ["config_capacity_bench", "capacity.py"],
}


def command_for(name, bin_folder):
    if name.endswith(".py"):
        return [sys.executable, os.path.join(HERE, "bench", name),
                "--bin", bin_folder]
    return [os.path.join(bin_folder, "src", name)]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("target", choices=sorted(TARGETS))
    parser.add_argument("--bin", required=True)
    options = parser.parse_args()
    environment = dict(os.environ, PYTHONPATH=HERE, PYTHONDONTWRITEBYTECODE="1")
    for name in TARGETS[options.target]:
        done = subprocess.run(command_for(name, options.bin), env=environment)
        if done.returncode != 0:
            sys.exit(done.returncode)


if __name__ == "__main__":
    main()
