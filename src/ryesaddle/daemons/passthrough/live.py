"""Settings that are reloaded while a process runs."""

import asyncio
import logging
import os
import signal

import msgspec

from ryesaddle.daemons.passthrough.settings import (
    RESTART_ONLY_FIELDS,
    load_passthrough_settings,
)
from ryesaddle.errors import SettingsError
from ryesaddle.internal.log import event, warn

log = logging.getLogger(__name__)

FILE_CHECK_INTERVAL_S = 2.0  # detects changes of the file without a signal


class LiveSettings:
    """Current settings of a process, with the attributes of the settings struct.

    Parameters
    ----------
    path : path-like
        The settings file.
    kind : type
        `PassthroughBalancerSettings` or `PassthroughAgentSettings`.

    Raises
    ------
    SettingsError
        If the file cannot be loaded at construction.
    """

    def __init__(self, path, kind):
        self._path = path
        self._kind = kind
        self._signalled = None
        self._settings = load_passthrough_settings(path, kind)
        self._loaded_fingerprint = self._fingerprint()

    def __getattr__(self, name):
        return getattr(self._settings, name)

    async def run(self):
        """Reload the file on SIGHUP and when it has changed, until cancelled."""
        loop = asyncio.get_running_loop()
        self._signalled = asyncio.Event()
        loop.add_signal_handler(signal.SIGHUP, self._signalled.set)
        while True:
            try:
                async with asyncio.timeout(FILE_CHECK_INTERVAL_S):
                    await self._signalled.wait()
            except TimeoutError:
                if self._fingerprint() == self._loaded_fingerprint:
                    continue
            signalled = self._signalled.is_set()
            self._signalled.clear()
            self.reload(signalled)

    def reload(self, signalled):
        """Load the file, but keep the settings that need a restart.

        A file that cannot be loaded is logged and changes nothing.
        """
        self._loaded_fingerprint = self._fingerprint()
        try:
            settings = load_passthrough_settings(self._path, self._kind)
        except SettingsError as exc:
            warn(log, "reload-refused", signalled=signalled, reason=exc)
            return
        changed = _differences(self._settings, settings)
        kept = {
            name: getattr(self._settings, name)
            for name in changed & RESTART_ONLY_FIELDS
        }
        self._settings = msgspec.structs.replace(settings, **kept)
        event(
            log,
            "reloaded",
            signalled=signalled,
            changed=sorted(changed - RESTART_ONLY_FIELDS),
            needs_restart=sorted(kept),
        )

    def _fingerprint(self):
        try:
            stat = os.stat(self._path)
        except OSError as exc:
            warn(log, "settings-not-found", path=self._path, reason=exc)
            return None
        return (stat.st_mtime_ns, stat.st_size, stat.st_ino)


def _differences(old, new):
    return {
        name
        for name in old.__struct_fields__
        if getattr(old, name) != getattr(new, name)
    }
