"""Benchmarks of real entries and agents over loopback, with optional fault injection."""
