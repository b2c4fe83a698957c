VENV ?= .venv
PYTHON ?= python3.11
BIN := $(VENV)/bin
PACKAGES := platform $(wildcard packages/knapweedhall-*)
STAMP := $(VENV)/.installed
# Lets a second work tree use its own sources with a shared environment.
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(addprefix $(CURDIR)/,$(wildcard platform/src packages/*/src)))

.PHONY: setup test lint format demo soak model model-broken catalogue

setup: $(STAMP)

$(STAMP): constraints.txt requirements-dev.txt $(wildcard platform/pyproject.toml packages/*/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt setuptools
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

# Plays the seeds that ever failed, and a few new ones; see --help for more.
soak: setup
	$(BIN)/python -m knapweedhall_bench.soak --fresh 3 $(SOAK_OPTIONS)

# Explores the specification of the core protocol exhaustively.
model: setup
	$(BIN)/python -m knapweedhall_model.main

# Removes one safeguard at a time; succeeds if each has a counterexample.
model-broken: setup
	$(BIN)/python -m knapweedhall_model.main --broken
