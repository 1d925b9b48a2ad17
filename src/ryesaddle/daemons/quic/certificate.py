"""Re-reads the TLS certificate when its files change."""

import asyncio
import logging
from pathlib import Path

from ryesaddle.errors import SettingsError
from ryesaddle.internal.log import event, warn
from ryesaddle.internal.quic.endpoint import make_configuration
from ryesaddle.settings import check_owner_only

log = logging.getLogger(__name__)

POLL_S = 2.0


class CertificateReloader:
    """Gives new flows the current certificate; open flows keep theirs.

    Parameters
    ----------
    settings : AgentSettings
        Names the files.
    endpoint : Endpoint
        Receives the new configuration.
    """

    def __init__(self, settings, endpoint):
        self._settings = settings
        self._endpoint = endpoint
        self._stamps = self._read_stamps()

    async def run(self):
        """Look at the files until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            self.check()

    def check(self):
        """Load the files if they have changed since the last look."""
        stamps = self._read_stamps()
        if stamps == self._stamps:
            return
        files = self._settings.certificate_file, self._settings.private_key_file
        try:
            check_owner_only(files[1], "private_key_file")
            self._endpoint.cfg = make_configuration(*files)
        except (OSError, ValueError, SettingsError) as exc:
            warn(log, "certificate-refused", reason=exc)
            return
        self._stamps = stamps
        event(log, "certificate-loaded", file=files[0])

    def _read_stamps(self):
        files = self._settings.certificate_file, self._settings.private_key_file
        try:
            return [Path(file).stat().st_mtime_ns for file in files]
        except OSError:
            return None
