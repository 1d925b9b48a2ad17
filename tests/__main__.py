"""Runs all tests with nose2.

The tests that KNOWN-RED.txt lists are run and their results printed, but their
failures do not fail the run. Each entry of that file begins with the name of a test.
"""

import sys
import unittest
from pathlib import Path

from hypothesis import HealthCheck, settings
from nose2.main import PluggableTestProgram

from tests.support.outcomes import Outcomes

KNOWN_FAILURES_FILE = Path(__file__).resolve().parents[1] / "KNOWN-RED.txt"

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("ci")


def read_known_failures():
    """Return the names of the tests that KNOWN-RED.txt lists."""
    if not KNOWN_FAILURES_FILE.exists():
        return set()
    lines = KNOWN_FAILURES_FILE.read_text(encoding="utf-8").splitlines()
    return {line.split()[0] for line in lines if line.startswith("tests.")}


def describe_outcome(name, finished, failed):
    """Return ``failed``, ``passed`` or ``was not run`` for a test."""
    if name in failed:
        return "failed"
    return "passed" if name in finished else "was not run"


def main():
    """Run the tests and return the exit code."""
    argv = ["nose2", "-s", "tests", "-t", ".", *sys.argv[1:]]
    program = PluggableTestProgram(
        module=None, argv=argv, exit=False, plugins=["tests.support.outcomes"]
    )
    count, failed = len(Outcomes.finished), Outcomes.failed
    known_failures = read_known_failures()
    new_failures = [name for name in failed if name not in known_failures]
    for name in sorted(known_failures):
        print(f"known red: {name} {describe_outcome(name, Outcomes.finished, failed)}")
    for name in new_failures:
        print(f"new failure: {name}")
    print(f"{count - len(failed)} passed, {len(new_failures)} failed")
    # A failed subtest has no outcome of its own in the plugin.
    unrecorded_failure = not program.result.wasSuccessful() and not failed
    return 1 if new_failures or unrecorded_failure or not count else 0


if __name__ == "__main__":
    unittest.installHandler()
    sys.exit(main())
