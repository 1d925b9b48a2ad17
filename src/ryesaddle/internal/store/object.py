"""An object as the platform's object API holds it."""

import msgspec

WRITE_ID = "ryesaddle/write-id"
API_PATH = "/apis/ryesaddle/v1"


class Metadata(msgspec.Struct, frozen=True, rename="camel"):
    """The part of an object that the platform manages, and its annotations."""

    name: str
    resource_version: str = ""
    annotations: dict[str, str] = {}


class StoreObject(msgspec.Struct, frozen=True):
    """One object: its kind, metadata and specification.

    Attributes
    ----------
    kind : str
        Plural resource name, as in the path of the API.
    metadata : Metadata
        Name, version and annotations.
    spec : dict
        Content, of a shape that the kind decides.
    """

    kind: str
    metadata: Metadata
    spec: dict = {}


class WatchEvent(msgspec.Struct, frozen=True):
    """One line of a watch: ADDED, MODIFIED, DELETED, BOOKMARK or ERROR."""

    type: str
    object: dict = {}


def new_object(kind, name, spec, version="", write_id=""):
    """Return a `StoreObject` to be written over version ``version``."""
    annotations = {WRITE_ID: write_id} if write_id else {}
    return StoreObject(kind, Metadata(name, version, annotations), spec)
