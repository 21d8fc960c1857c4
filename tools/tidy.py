#!/usr/bin/env python3
"""Runs clang-tidy on the files of a compilation database.

    tidy.py BUILD-FOLDER FILE-PATTERN JOBS

A file that was clean is not looked at again until something changes that the
verdict follows from: clang-tidy itself, .clang-tidy, the compiler's arguments,
or the content of the file or of any header that it includes. What is known to
be clean is kept in the user's cache folder, so a fresh machine checks all, and
so does any run with CI set in the environment. Prints the findings; exits with
1 if there are any.
"""
import concurrent.futures
import hashlib
import json
import os
import re
import shlex
import subprocess
import sys

CACHE = os.path.join(
    os.environ.get("XDG_CACHE_HOME", os.path.expanduser("~/.cache")),
    "azurespur-tidy")
ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))


def hash_file(path):
    with open(path, "rb") as file:
        return hashlib.sha256(file.read()).hexdigest()


def compiler_arguments(entry):
    """The compiler and its flags, without launchers, -c and -o."""
    words = shlex.split(entry["command"])
    first = next(i for i, word in enumerate(words)
                 if re.search(r"(g\+\+|clang\+\+|c\+\+)[-\d.]*$", word))
    words = words[first:]
    output = words.index("-o")
    del words[output:output + 2]
    return [word for word in words if word != "-c"]


def included_files(entry):
    """All files that the compiler reads, or None if it can't tell."""
    listed = subprocess.run(
        compiler_arguments(entry) + ["-M", "-MT", "x"], cwd=entry["directory"],
        capture_output=True, text=True)
    if listed.returncode != 0:
        return None
    words = listed.stdout.replace("\\\n", " ").split()
    files = {os.path.realpath(os.path.join(entry["directory"], word))
             for word in words[1:]}
    return sorted(files) if os.path.realpath(entry["file"]) in files else None


def verdict_key(entry, fixed):
    """What the verdict on a file follows from, or None if it isn't known."""
    files = included_files(entry)
    if files is None:
        return None
    parts = [fixed] + compiler_arguments(entry)
    for path in files:
        parts.append(path + " " + hash_file(path))
    text = "\n".join(parts).replace(ROOT, ".")
    return hashlib.sha256(text.encode()).hexdigest()


def check(entry, build, fixed):
    """Returns (whether the file is clean, the findings)."""
    key = verdict_key(entry, fixed)
    known = key and os.path.join(CACHE, key)
    if known and os.path.exists(known) and "CI" not in os.environ:
        return True, ""
    run = subprocess.run(["clang-tidy", "-quiet", "-p", build, entry["file"]],
                         capture_output=True, text=True)
    if run.returncode != 0:
        return False, (f"{entry['file']}: error: clang-tidy ended with "
                       f"{run.returncode}\n{run.stdout}{run.stderr}")
    # A file that was edited meanwhile may not be the one that was looked at.
    if known and verdict_key(entry, fixed) == key:
        open(known, "w", encoding="utf-8").close()
    return True, ""


def main():
    build, pattern, jobs = sys.argv[1:]
    os.makedirs(CACHE, exist_ok=True)
    with open(os.path.join(build, "compile_commands.json"),
              encoding="utf-8") as file:
        entries = [entry for entry in json.load(file)
                   if re.search(pattern, entry["file"])]
    version = subprocess.run(["clang-tidy", "--version"], check=True,
                             capture_output=True, text=True).stdout
    fixed = version + hash_file(os.path.join(ROOT, ".clang-tidy"))
    with concurrent.futures.ThreadPoolExecutor(int(jobs)) as pool:
        results = list(pool.map(lambda entry: check(entry, build, fixed),
                                entries))
    print("".join(findings for _, findings in results), end="")
    return 0 if all(clean for clean, _ in results) else 1


sys.exit(main())
