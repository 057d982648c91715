PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
BINARY_ROOT ?= /dev/shm/hibiscustray

.PHONY: venv demo test test-quick lint format example-trust example-cairnbeam bench-idle bench-stream capacity binary binary-check

$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV) || python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

venv: $(VENV)/.installed

demo: venv
	$(BIN)/hibiscustray demo

test: venv
	$(BIN)/python tools/run_tests.py $(PYTEST_OPTIONS)

test-quick: venv
	$(BIN)/python tools/run_tests.py --quick $(PYTEST_OPTIONS)

lint: venv
	$(BIN)/black --check --quiet hibiscustray tests examples tools
	$(BIN)/ruff check --quiet hibiscustray tests examples tools

format: venv
	$(BIN)/black --quiet hibiscustray tests examples tools
	$(BIN)/ruff check --quiet --fix hibiscustray tests examples tools

example-trust: venv
	PYTHON=$(BIN)/python examples/run.sh examples/trust $(BIN)/hibiscustray

example-cairnbeam: venv
	PYTHON=$(BIN)/python examples/run.sh examples/cairnbeam $(BIN)/hibiscustray

bench-idle: venv
	PYTHON=$(BIN)/python examples/measure.sh examples/trust idle $(BIN)/hibiscustray

bench-stream: venv
	PYTHON=$(BIN)/python examples/measure.sh examples/trust stream $(BIN)/hibiscustray

capacity: venv
	$(BIN)/hibiscustray report capacity docs/measurements --output docs/CAPACITY.md

binary: venv
	rm -rf build/runtime
	$(BIN)/python tools/collect_runtime.py . build/runtime
	mkdir -p dist
	$(BIN)/shiv --site-packages build/runtime --entry-point hibiscustray.__main__:main \
	  --root $(BINARY_ROOT) --compressed --python "/usr/bin/env python3.11" \
	  --output-file dist/hibiscustray

binary-check: binary
	$(BIN)/python tools/check_binary.py dist/hibiscustray $(dir $(BINARY_ROOT))
