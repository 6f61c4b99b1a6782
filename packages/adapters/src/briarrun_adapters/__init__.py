"""Clients of the platform's services, workers and upstreams."""
