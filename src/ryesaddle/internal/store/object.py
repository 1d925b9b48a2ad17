"""Objects and watch events of the platform's object API."""

import msgspec

WRITE_ID_ANNOTATION = "ryesaddle/write-id"
API_PATH = "/apis/ryesaddle/v1"


class Metadata(msgspec.Struct, frozen=True, rename="camel"):
    """Name, resource version and annotations of an object."""

    name: str
    resource_version: str = ""
    annotations: dict[str, str] = {}


class StoreObject(msgspec.Struct, frozen=True):
    """An object of the object API.

    Attributes
    ----------
    kind : str
        Plural resource name, as used in URL paths.
    metadata : Metadata
        Name, resource version and annotations.
    spec : dict
        Content; its schema depends on the kind.
    """

    kind: str
    metadata: Metadata
    spec: dict = {}


class WatchEvent(msgspec.Struct, frozen=True):
    """One event of a watch: ADDED, MODIFIED, DELETED, BOOKMARK or ERROR."""

    type: str
    object: dict = {}


def new_object(kind, name, spec, version="", write_id=""):
    """Return a `StoreObject` that replaces ``version``, or is new if it is empty."""
    annotations = {WRITE_ID_ANNOTATION: write_id} if write_id else {}
    return StoreObject(kind, Metadata(name, version, annotations), spec)
