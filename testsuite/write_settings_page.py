"""Writes docs/operators/settings.md from the output of --describe-settings."""

import argparse
import os
import subprocess

PAGE = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "docs",
                    "operators", "settings.md")
HEAD = """# Settings

One JSON file for each program. The keys below are paths: `listen.callers` is
the member `callers` of the object `listen`. An unknown key, a wrong type or a
value out of range stops the program at start with the key's path, the value
and what is allowed; `vlctl check-settings PROGRAM FILE` says the same without
starting. This page is written by `testsuite/write_settings_page.py` from
`--describe-settings`; a test compares them.
"""


def page(bin_folder):
    text = HEAD
    for mode in ([], ["--platform"]):
        for program in ("vlentry", "vltarget"):
            path = os.path.join(bin_folder, "src", program)
            described = subprocess.run(
                [path] + mode + ["--describe-settings"], check=True,
                capture_output=True, text=True).stdout
            text += "\n## %s\n\n```\n%s```\n" % (
                " ".join([program] + mode), described)
    return text


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    options = parser.parse_args()
    with open(PAGE, "w") as file:
        file.write(page(options.bin))


if __name__ == "__main__":
    main()
