"""Termination of QUIC and HTTP/3 connections with aioquic, without network I/O."""
