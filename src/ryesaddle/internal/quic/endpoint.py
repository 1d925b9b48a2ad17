"""The QUIC connections of an agent, by connection ID."""

from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.packet import encode_quic_version_negotiation

from ryesaddle.internal.quic.connection import ServerConnection
from ryesaddle.internal.quic.flow import Flow
from ryesaddle.internal.quic.packet import CID_BYTES

IDLE_TIMEOUT_S = 60.0


def make_configuration(certificate_file, private_key_file):
    """Return the `QuicConfiguration` for HTTP/3 with a certificate."""
    cfg = QuicConfiguration(
        is_client=False,
        alpn_protocols=["h3"],
        connection_id_length=CID_BYTES,
        idle_timeout=IDLE_TIMEOUT_S,
    )
    cfg.load_cert_chain(certificate_file, private_key_file)
    return cfg


class Endpoint:
    """Opens flows and finds them by their connection IDs.

    Parameters
    ----------
    cfg : QuicConfiguration
        Used for new flows; may be replaced at any time.
    tokens : ResetTokens
        Source of stateless reset tokens.
    """

    def __init__(self, cfg, tokens):
        self.cfg = cfg
        self._tokens = tokens
        self._flows = {}

    @property
    def flows(self):
        """The set of open flows."""
        return set(self._flows.values())

    def find(self, flow_id):
        """Return the `Flow` that a connection ID belongs to, or None."""
        return self._flows.get(flow_id)

    def open(self, info, caller, balancer, now):
        """Create, index and return a `Flow` for an Initial packet."""
        conn = ServerConnection(
            tokens=self._tokens,
            configuration=self.cfg,
            original_destination_connection_id=info.flow_id,
        )
        flow = Flow(conn, caller, balancer, now)
        self.index(flow)
        return flow

    def index(self, flow):
        """Update the index with a flow's connection IDs; remove a closed flow."""
        for flow_id in flow.retired_ids:
            self._flows.pop(flow_id, None)
        flow.retired_ids.clear()
        for flow_id in flow.flow_ids:
            if flow.closed:
                self._flows.pop(flow_id, None)
            else:
                self._flows[flow_id] = flow

    def negotiate_version(self, info):
        """Return a Version Negotiation packet, or None if it is not needed.

        That is so if the version is supported, or the packet has none.
        """
        if not info.version or info.version in self.cfg.supported_versions:
            return None
        return encode_quic_version_negotiation(
            source_cid=info.flow_id,
            destination_cid=info.source_id,
            supported_versions=self.cfg.supported_versions,
        )
