"""Rejects coroutine code that GCC 12 miscompiles.

A capturing closure or a brace-initialised aggregate is destroyed twice if it is
a temporary of a full expression that suspends; so is a temporary of a
conditional expression that awaits. In a coroutine that awaits in a condition
and declares no variable, the generated code uses wrong offsets into the
coroutine frame, and the program crashes. CONTRIBUTING.md describes the
alternatives.
"""

import re
import sys

RULES = [
    (re.compile(r"co_await[^;]*?[(,]\s*\[[^\]]+\]\s*[({]"),
     "a capturing lambda inside a co_await expression: name it first"),
    (re.compile(r"\?\s*co_await"),
     "co_await inside a conditional expression: use if and else"),
]

COROUTINE = re.compile(r"^( *)(?:static )?Awaitable<[^;{}]*\{\n(.*?)^\1\}$",
                       re.MULTILINE | re.DOTALL)
CONDITION = re.compile(r"\b(?:if|while) \(")
# `Type name =`, `Type name(`, `Type name;` and the like.
DECLARATION = re.compile(
    r"^\s+(?!co_|return|else|throw|delete)(?:const )?[\w:]+(?:<[^;]*?>)?"
    r"[ &*]+(?:\[[\w, ]+\]|\w+)\s*[=;({]", re.MULTILINE)
NO_VARIABLE = ("co_await in a condition of a coroutine without a variable: "
               "give what is awaited a name")


def awaits_in_condition(body):
    for match in CONDITION.finditer(body):
        depth, end = 1, match.end()
        while depth > 0:
            depth += {"(": 1, ")": -1}.get(body[end], 0)
            end += 1
        if "co_await" in body[match.end():end]:
            return True
    return False


def without_variable(path, text):
    for match in COROUTINE.finditer(text):
        body = match[2]
        if awaits_in_condition(body) and not DECLARATION.search(body):
            line = text.count("\n", 0, match.start()) + 1
            yield "%s:%d: %s" % (path, line, NO_VARIABLE)


def problems(path):
    with open(path) as file:
        text = file.read()
    text = re.sub(r"//[^\n]*", "", text)
    yield from without_variable(path, text)
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
