"""Refuses what GCC 12 miscompiles inside co_await expressions.

A closure that captures, or an aggregate made in braces, is destroyed twice when
it is a temporary of a full expression that suspends; so is a temporary of a
conditional expression that awaits. CONTRIBUTING.md tells what to write instead.
"""

import re
import sys

RULES = [
    (re.compile(r"co_await[^;]*?[(,]\s*\[[^\]]+\]\s*[({]"),
     "a capturing lambda inside a co_await expression: name it first"),
    (re.compile(r"\?\s*co_await"),
     "co_await inside a conditional expression: use if and else"),
]


def problems(path):
    with open(path) as file:
        text = file.read()
    text = re.sub(r"//[^\n]*", "", text)
    for pattern, advice in RULES:
        for match in pattern.finditer(text):
            line = text.count("\n", 0, match.start()) + 1
            yield "%s:%d: %s" % (path, line, advice)


def main():
    found = [problem for path in sys.argv[1:] for problem in problems(path)]
    print(*found, sep="\n", end="\n" if found else "")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
