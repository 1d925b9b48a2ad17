"""The exceptions that ryesaddle raises; each message names a remedy."""


class RyesaddleError(Exception):
    """Base class of all errors raised by this package."""


class SettingsError(RyesaddleError):
    """A settings file cannot be used as it stands."""


class FolderError(RyesaddleError):
    """One or more files of a configuration folder are wrong.

    Parameters
    ----------
    problems : sequence of str
        One line for each problem, beginning with the name of the file.
    """

    def __init__(self, problems):
        self.problems = tuple(problems)
        super().__init__("\n".join(self.problems))


class RaceError(RyesaddleError):
    """Another operator changed the same file first."""


class WireError(RyesaddleError):
    """A datagram between processes is malformed or not authentic."""


class StoreError(RyesaddleError):
    """Base class of the errors of the object API client."""


class StoreUnavailableError(StoreError):
    """The object API did not answer, or refused for now."""


class ConflictError(StoreError):
    """A conditional update lost against another writer (HTTP 409)."""


class GoneError(StoreError):
    """The history that a watch asked for was compacted away (HTTP 410)."""


class UncertainWriteError(StoreError):
    """A write was sent but its answer was lost."""
