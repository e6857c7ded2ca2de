"""Runs `make demo`, so that the first program a new user runs keeps working."""

import argparse
import os
import subprocess
import sys

parser = argparse.ArgumentParser()
parser.add_argument("--bin", required=True)
options = parser.parse_args()
demo = os.path.join(os.path.dirname(__file__), "..", "..", "demo.py")
sys.exit(subprocess.run([sys.executable, demo, "--bin", options.bin]).returncode)
