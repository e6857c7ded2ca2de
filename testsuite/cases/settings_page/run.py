"""The operators' page of settings matches the programs' --describe-settings."""

import argparse
import sys

import write_settings_page

parser = argparse.ArgumentParser()
parser.add_argument("--bin", required=True)
options = parser.parse_args()
with open(write_settings_page.PAGE) as file:
    written = file.read()
if written != write_settings_page.page(options.bin):
    print("docs/operators/settings.md is out of date: run "
          "python3 testsuite/write_settings_page.py --bin BUILD")
    sys.exit(1)
print("passed")
