"""Benchmarks that print their results and assert nothing."""
