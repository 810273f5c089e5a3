PYTHON ?= python3
VENV ?= .venv
# Most tests wait for processes that they start; more test processes overload the host.
TEST_PROCESSES ?= 4
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PROTOS := $(wildcard src/galenadrum/_internal/protocol/*.proto)

.PHONY: demo test format lint bench protocol binary clean

demo: $(STAMP)
	$(BIN)/galenadrum demo

test: $(STAMP)
	$(BIN)/python -m pytest -n $(TEST_PROCESSES) $(PYTEST_OPTIONS)

format: $(STAMP)
	$(BIN)/ruff format src tests benchmarks platform deploy
	$(BIN)/ruff check --fix src tests benchmarks platform deploy

lint: $(STAMP)
	$(BIN)/ruff format --check src tests benchmarks platform deploy
	$(BIN)/ruff check src tests benchmarks platform deploy

bench: $(STAMP) bench-signs
	PYTHONPATH=src $(BIN)/python -m benchmarks.policy

protocol: $(STAMP)
	PATH="$(abspath $(BIN)):$$PATH" $(BIN)/python -m grpc_tools.protoc -I src \
		--python_out=src --grpclib_python_out=src $(PROTOS)

binary: $(STAMP)
	$(BIN)/python tools/stage_packages.py build/binary
	mkdir -p dist
	$(BIN)/shiv --site-packages build/binary --compressed --reproducible \
		--python '/usr/bin/env python3' \
		--entry-point galenadrum._internal.cli.main:main \
		--output-file dist/galenadrum

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $(STAMP)

clean:
	rm -rf $(VENV) build dist .pytest_cache .ruff_cache .hypothesis

.PHONY: bench-control bench-entry bench-signs

bench-control: $(STAMP)
	PYTHONPATH=tests $(BIN)/python -m benchmarks.control_cost

bench-entry: $(STAMP)
	PYTHONPATH=tests $(BIN)/python -m benchmarks.entry_overhead

bench-signs: $(STAMP)
	PYTHONPATH=src:tests:platform $(BIN)/python -m benchmarks.server_signs
