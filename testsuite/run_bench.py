"""Runs the benchmarks of one target and prints their lines.

A benchmark is a program of the build, or a Python script of testsuite/bench
that drives real programs and takes --bin.
"""

import argparse
import os
import subprocess
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
BENCHES = {
    "bench-weights": ["transfer_bench", "weights_real.py"],
    "bench-requests": ["routing_bench", "place_bench", "rate_bench", "rest_bench",
                       "crash_bench", "request_path.py",
                       "platform_request_path.py"],
    "bench-config": ["config.py", "platform_store_return.py"],
    "bench-capacity": ["config_capacity_bench", "capacity.py"],
}


def command(name, bin_folder):
    if name.endswith(".py"):
        return [sys.executable, os.path.join(HERE, "bench", name),
                "--bin", bin_folder]
    return [os.path.join(bin_folder, "src", name)]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("target", choices=sorted(BENCHES))
    parser.add_argument("--bin", required=True)
    options = parser.parse_args()
    names = BENCHES[options.target]
    if not names:
        print(options.target + ": no benchmark yet", file=sys.stderr)
        return 1
    environment = dict(os.environ, PYTHONPATH=HERE,
                       PYTHONDONTWRITEBYTECODE="1")
    failed = 0
    for name in names:
        done = subprocess.run(command(name, options.bin), env=environment)
        failed += done.returncode != 0
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
