"""Distributes model weights to many VMs while requests continue to be routed to them."""

__version__ = "0.1.0"
