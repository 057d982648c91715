"""Benchmarks that run real agents over loopback behind shaped links."""
