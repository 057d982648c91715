"""Measurements over a whole site in one process."""
