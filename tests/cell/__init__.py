"""Tests of a cell with one holder over a linearizable store."""
