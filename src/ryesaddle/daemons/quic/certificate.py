"""Reloads the TLS certificate when its files change."""

import asyncio
import logging
from pathlib import Path

from ryesaddle.errors import SettingsError
from ryesaddle.internal.log import event, warn
from ryesaddle.internal.quic.endpoint import make_configuration
from ryesaddle.settings import check_owner_only

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 2.0


class CertificateReloader:
    """Applies a changed certificate to new flows; open flows keep theirs.

    Parameters
    ----------
    settings : AgentSettings
        Paths of the certificate and the private key.
    endpoint : Endpoint
        Receives the new configuration.
    """

    def __init__(self, settings, endpoint):
        self._settings = settings
        self._endpoint = endpoint
        self._mtimes = self._read_mtimes()

    async def run(self):
        """Check the files periodically, until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            self.reload_if_changed()

    def reload_if_changed(self):
        """Reload the files if they have changed since the last successful load."""
        mtimes = self._read_mtimes()
        if mtimes == self._mtimes:
            return
        files = self._settings.certificate_file, self._settings.private_key_file
        try:
            check_owner_only(files[1], "private_key_file")
            self._endpoint.cfg = make_configuration(*files)
        except (OSError, ValueError, SettingsError) as exc:
            warn(log, "certificate-refused", reason=exc)
            return
        self._mtimes = mtimes
        event(log, "certificate-loaded", file=files[0])

    def _read_mtimes(self):
        files = self._settings.certificate_file, self._settings.private_key_file
        try:
            return [Path(file).stat().st_mtime_ns for file in files]
        except OSError:
            return None
