"""The exceptions that ryesaddle raises; their messages name a remedy."""


class RyesaddleError(Exception):
    """Base class of all errors raised by this package."""


class SettingsError(RyesaddleError):
    """A settings file is missing, malformed or has an invalid value."""


class ConfigurationFolderError(RyesaddleError):
    """A configuration folder, or one or more of its files, is invalid.

    Parameters
    ----------
    problems : sequence of str
        One line for each problem, beginning with the name of the file.
    """

    def __init__(self, problems):
        self.problems = tuple(problems)
        super().__init__("\n".join(self.problems))


class EditConflictError(RyesaddleError):
    """Another operator has changed the same configuration file in the meantime."""


class WireError(RyesaddleError):
    """A datagram between processes is malformed or fails authentication."""


class EntryError(RyesaddleError):
    """An entry in the store, which another may have written, cannot be used."""


class StoreError(RyesaddleError):
    """Base class of the errors of the object API client."""


class StoreUnavailableError(StoreError):
    """The object API did not answer, or refused the call temporarily."""


class ConflictError(StoreError):
    """A conditional write failed as the object has another version (HTTP 409)."""


class GoneError(StoreError):
    """The store has discarded the history that a watch asked for (HTTP 410)."""


class UncertainWriteError(StoreError):
    """A write was sent but its answer was lost, so it may have taken effect."""
