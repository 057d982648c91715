"""Every module of the package can be imported on its own names."""

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
def test_module_exports_what_it_names(name):
    module = importlib.import_module(name)
    for exported in getattr(module, "__all__", []):
        assert hasattr(module, exported)
