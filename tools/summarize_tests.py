"""Sums up JUnit results: summarize_tests.py RESULTS-FOLDER KNOWN-RED-FILE

Prints each failure, tells those that the known-red file lists from the others,
and ends with "N passed, N failed". Exits 1 if a failure is not listed.
"""

import pathlib
import sys
import xml.etree.ElementTree as ElementTree

LOG_TAIL_LINES = 30


def read_known_red(path):
    """Returns the names of the listed tests: the text before the first " | "."""
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    entries = [line for line in lines if line.strip() and line[0] != "#"]
    return {entry.split(" | ")[0].strip() for entry in entries}


def read_program(status_path):
    """Returns (passed names, failures as {name: text}) of one test program."""
    program = status_path.stem
    exit_code = int(status_path.read_text(encoding="utf-8"))
    passed = []
    failures = {}
    try:
        root = ElementTree.parse(status_path.with_suffix(".xml")).getroot()
        cases = list(root.iter("testcase"))
    except (ElementTree.ParseError, FileNotFoundError):
        cases = []
    for case in cases:
        name = f"{program}: {case.get('name')}"
        problems = case.findall("failure") + case.findall("error")
        if problems:
            texts = [p.get("message", "") + (p.text or "") for p in problems]
            failures[name] = "\n".join(texts)
        else:
            passed.append(name)
    if not cases or (exit_code != 0 and not failures):
        log = status_path.with_suffix(".log")
        tail = log.read_text(encoding="utf-8", errors="replace").splitlines()
        failures[f"{program}: exit code {exit_code}"] = "\n".join(
            tail[-LOG_TAIL_LINES:]
        )
    return passed, failures


def read_script(kind, result_path):
    """Returns (passed names, failures as {name: text}) of one run of a script."""
    name = f"{kind}: {result_path.stem}"
    if int(result_path.read_text(encoding="utf-8")) == 0:
        return [name], {}
    log = result_path.with_suffix(".log").read_text(encoding="utf-8")
    lines = [line for line in log.splitlines() if "held:" not in line]
    return [], {name: "\n".join(lines[:LOG_TAIL_LINES])}


def main():
    results = pathlib.Path(sys.argv[1])
    known_red = read_known_red(pathlib.Path(sys.argv[2]))
    passed = []
    failures = {}
    for status_path in sorted(results.glob("*.status")):
        program_passed, program_failures = read_program(status_path)
        passed += program_passed
        failures.update(program_failures)

    for kind in ("scenario", "processes"):
        for result_path in sorted(results.glob(f"*.{kind}")):
            script_passed, script_failures = read_script(kind, result_path)
            passed += script_passed
            failures.update(script_failures)

    unlisted = 0
    for name, text in failures.items():
        listed = name in known_red
        unlisted += not listed
        print(f"{'known red' if listed else 'FAILED'}: {name}\n{text}")
    for name in sorted(known_red & set(passed)):
        print(f"listed in the known-red file but passed: {name}")
    print(f"{len(passed)} passed, {len(failures)} failed")
    return 1 if unlisted or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
