import os
import tempfile
import types
import unittest
from pathlib import Path

from ryesaddle.daemons.quic.certificate import CertificateReloader
from ryesaddle.internal.quic.endpoint import Endpoint, make_configuration
from ryesaddle.internal.quic.reset import ResetTokens
from tests.support.certificates import write_certificate


class CertificateReloaderTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.cert, self.key = write_certificate(self.folder, "first")
        settings = types.SimpleNamespace(
            certificate_file=str(self.cert), private_key_file=str(self.key)
        )
        cfg = make_configuration(self.cert, self.key)
        self.endpoint = Endpoint(cfg, ResetTokens(b"k" * 16))
        self.reloader = CertificateReloader(settings, self.endpoint)

    def replace_certificate(self, name):
        write_certificate(self.folder, name)
        later = self.cert.stat().st_mtime + 10
        os.utime(self.cert, (later, later))

    def subject(self):
        return self.endpoint.cfg.certificate.subject.rfc4514_string()

    def test_a_changed_certificate_is_used_for_new_flows(self):
        initial = self.endpoint.cfg
        self.reloader.reload_if_changed()
        self.assertIs(self.endpoint.cfg, initial)
        self.replace_certificate("second")
        self.reloader.reload_if_changed()
        self.assertEqual(self.subject(), "CN=second")
        # Open flows keep the earlier configuration, which must not change.
        self.assertEqual(initial.certificate.subject.rfc4514_string(), "CN=first")

    def test_a_half_written_certificate_is_refused_and_tried_again(self):
        self.cert.write_bytes(b"-----BEGIN")
        self.reloader.reload_if_changed()
        self.assertEqual(self.subject(), "CN=first")
        self.replace_certificate("third")
        self.reloader.reload_if_changed()
        self.assertEqual(self.subject(), "CN=third")

    def test_a_private_key_that_became_readable_to_others_is_refused(self):
        self.replace_certificate("second")
        self.key.chmod(0o644)
        self.reloader.reload_if_changed()
        self.assertEqual(self.subject(), "CN=first")
