"""Tests with clients that send much, and read or finish nothing."""
