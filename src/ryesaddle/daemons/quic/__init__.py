"""Processes of the ryesaddle interface, in which agents terminate QUIC."""
