"""Tests of skylarkrack."""
