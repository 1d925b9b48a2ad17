"""Sources of an earlier version of this project, from the repository's history."""

import io
import subprocess
import tarfile
import unittest

from tests.support.platform_deployment import ROOT


def extract_version(commit, folder):
    """Extract the sources of a commit; return the folder to import them from.

    Parameters
    ----------
    commit : str
        Name of the commit.
    folder : Path
        Where to put the sources.

    Raises
    ------
    unittest.SkipTest
        If this copy of the project has no history, as in a source archive.
    """
    command = ["git", "-C", str(ROOT), "archive", commit, "src"]
    try:
        done = subprocess.run(command, capture_output=True, check=True)
    except (OSError, subprocess.CalledProcessError) as exc:
        raise unittest.SkipTest(f"the history has no {commit}: {exc}") from exc
    with tarfile.open(fileobj=io.BytesIO(done.stdout)) as archive:
        archive.extractall(folder, filter="data")
    return folder / "src"
