"""Peer messages, codec and connections of briarrun."""
