PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: venv demo test lint format

$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV) || python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

venv: $(VENV)/.installed

demo: venv
	$(BIN)/hibiscustray demo

test: venv
	$(BIN)/python -m pytest

lint: venv
	$(BIN)/black --check --quiet hibiscustray tests examples
	$(BIN)/ruff check --quiet hibiscustray tests examples

format: venv
	$(BIN)/black --quiet hibiscustray tests examples
	$(BIN)/ruff check --quiet --fix hibiscustray tests examples
