"""Benchmarks of real entries and agents over loopback, with faults brought about."""
