"""Tests that every module can be imported and defines the names in its ``__all__``."""

from __future__ import annotations

import importlib
import pkgutil

import pytest

import hibiscustray

MODULES = [
    module.name
    for module in pkgutil.walk_packages(hibiscustray.__path__, "hibiscustray.")
    if not module.name.endswith("__main__")
]


@pytest.mark.parametrize("name", MODULES)
def test_module_defines_all_exported_names(name):
    module = importlib.import_module(name)
    for exported in getattr(module, "__all__", []):
        assert hasattr(module, exported)
