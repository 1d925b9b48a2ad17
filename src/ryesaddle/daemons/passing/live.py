"""Settings that change while a process runs."""

import asyncio
import logging
import signal
from pathlib import Path

import msgspec

from ryesaddle.daemons.passing.settings import FIXED, load_passing_settings
from ryesaddle.errors import SettingsError
from ryesaddle.internal.log import event, warn

log = logging.getLogger(__name__)

CHECK_S = 2.0  # the file may change without a signal


class LiveSettings:
    """The newest settings of a process, read like the settings themselves.

    Parameters
    ----------
    path : path-like
        The settings file.
    kind : type
        `PassingBalancerSettings` or `PassingAgentSettings`.

    Raises
    ------
    SettingsError
        If the file cannot be used at the start.
    """

    def __init__(self, path, kind):
        self._path = Path(path)
        self._kind = kind
        self._signalled = None
        self._current = load_passing_settings(path, kind)
        self._seen = self._stamp()

    def __getattr__(self, name):
        return getattr(self._current, name)

    async def run(self):
        """Read the file again on SIGHUP and when it has changed, until cancelled."""
        loop = asyncio.get_running_loop()
        self._signalled = asyncio.Event()
        loop.add_signal_handler(signal.SIGHUP, self._signalled.set)
        while True:
            try:
                async with asyncio.timeout(CHECK_S):
                    await self._signalled.wait()
            except TimeoutError:
                if self._stamp() == self._seen:
                    continue
            signalled = self._signalled.is_set()
            self._signalled.clear()
            self.reload(signalled)

    def reload(self, signalled):
        """Take the file's settings; those of a running socket stay as they are."""
        self._seen = self._stamp()
        try:
            settings = load_passing_settings(self._path, self._kind)
        except SettingsError as exc:
            warn(log, "reload-refused", signalled=signalled, reason=exc)
            return
        changed = _differences(self._current, settings)
        kept = {name: getattr(self._current, name) for name in changed & FIXED}
        self._current = msgspec.structs.replace(settings, **kept)
        event(
            log,
            "reloaded",
            signalled=signalled,
            changed=sorted(changed - FIXED),
            needs_restart=sorted(kept),
        )

    def _stamp(self):
        try:
            stat = self._path.stat()
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
