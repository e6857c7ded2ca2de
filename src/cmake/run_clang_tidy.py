"""Runs clang-tidy over the project's own sources, several files at a time.

A file that passed before is skipped if neither the file, nor the project's
headers that it includes, nor .clang-tidy has changed since.
"""

import concurrent.futures
import hashlib
import json
import os
import re
import subprocess
import sys

INCLUDE = re.compile(r'^#include "([^"]+)"', re.MULTILINE)
ROOTS = ("src/libverbenalead", "src", "testsuite")
FLAGS = ["-fcoroutines-ts", "-Wno-unknown-warning-option"]


def read(path):
    with open(path, "rb") as file:
        return file.read()


def own_includes(path, seen):
    """Adds `path`, and all project files that it includes, to `seen`."""
    if path in seen:
        return
    seen.add(path)
    for name in INCLUDE.findall(read(path).decode()):
        for root in ROOTS:
            candidate = os.path.join(root, name)
            if os.path.exists(candidate):
                own_includes(candidate, seen)


def fingerprint(path):
    seen = set()
    own_includes(path, seen)
    digest = hashlib.sha256(read(".clang-tidy"))
    for each in sorted(seen):
        digest.update(each.encode() + read(each))
    return digest.hexdigest()


def check(path, build):
    command = ["clang-tidy", "-p", build, "--quiet"]
    command += ["--extra-arg=" + flag for flag in FLAGS]
    done = subprocess.run(command + [path], capture_output=True, text=True)
    return path, done.returncode, done.stdout + done.stderr


def write_commands(build, folder):
    """Writes the compile commands of `build`, one for each file.

    clang-tidy checks a file once for each command that names it, and one source
    is part of every unit test. Returns the paths of the files.
    """
    with open(os.path.join(build, "compile_commands.json")) as file:
        entries = {entry["file"]: entry for entry in json.load(file)}
    os.makedirs(folder, exist_ok=True)
    with open(os.path.join(folder, "compile_commands.json"), "w") as file:
        json.dump(list(entries.values()), file)
    return {os.path.relpath(path) for path in entries}


def main():
    build = sys.argv[1]
    commands = os.path.join(build, "clang-tidy")
    paths = write_commands(build, commands)
    cache_path = os.path.join(build, "clang-tidy-clean.json")
    clean = {}
    if os.path.exists(cache_path):
        with open(cache_path) as file:
            clean = json.load(file)
    prints = {path: fingerprint(path) for path in sorted(paths)}
    todo = [path for path in prints if clean.get(path) != prints[path]]
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        for path, code, output in pool.map(lambda p: check(p, commands), todo):
            if code == 0:
                clean[path] = prints[path]
                continue
            failed += 1
            print(path)
            print(output)
    with open(cache_path, "w") as file:
        json.dump(clean, file)
    print("clang-tidy: %d files checked, %d unchanged, %d with findings" % (
        len(todo), len(prints) - len(todo), failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
