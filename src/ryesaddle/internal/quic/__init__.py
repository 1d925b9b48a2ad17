"""QUIC and HTTP/3 termination by aioquic, without sockets."""
