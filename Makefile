VENV ?= .venv
PYTHON ?= python3.11
BIN := $(VENV)/bin
PACKAGES := platform $(wildcard packages/knapweedhall-*)
STAMP := $(VENV)/.installed
# Lets another work tree use its own sources with a shared environment.
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(addprefix $(CURDIR)/,$(wildcard platform/src packages/*/src)))

.PHONY: setup test lint format demo soak model model-broken catalogue

setup: $(STAMP)

$(STAMP): constraints.txt requirements-dev.txt $(wildcard platform/pyproject.toml packages/*/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt setuptools pbr
	$(BIN)/pip install -q -c constraints.txt -r requirements-dev.txt \
		--no-build-isolation $(addprefix -e ./,$(PACKAGES))
	touch $(STAMP)

test: setup
	$(BIN)/python tools/run_tests.py

lint: setup
	$(BIN)/black --check --quiet platform packages deploy tools
	$(BIN)/flake8 platform packages deploy tools
	$(BIN)/mypy $(wildcard platform/src packages/*/src)

format: setup
	$(BIN)/black --quiet platform packages deploy tools

catalogue: setup
	$(BIN)/python tools/write_catalogue.py

demo: setup
	$(BIN)/python -m knapweedhall_bench.demo $(DEMO_OPTIONS)

# Runs the seeds that failed before and a few new ones; see --help for options.
soak: setup
	$(BIN)/python -m knapweedhall_bench.soak --fresh 3 $(SOAK_OPTIONS)

# Checks the core protocol's specification by exhaustive state exploration.
model: setup
	$(BIN)/python -m knapweedhall_model.main

# Removes one safeguard at a time; passes if each removal has a counterexample.
model-broken: setup
	$(BIN)/python -m knapweedhall_model.main --broken
