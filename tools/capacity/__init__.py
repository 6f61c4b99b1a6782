"""Measures what a daemon needs and derives the load at the two-year size."""
