"""Moves model weights to many VMs while requests keep being routed to them."""

__version__ = "0.1.0"
