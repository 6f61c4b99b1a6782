"""Run short soaks of the real program."""
