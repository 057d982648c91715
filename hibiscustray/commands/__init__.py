"""Implementations of the commands that `hibiscustray.__main__` defines."""
