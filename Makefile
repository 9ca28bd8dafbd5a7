# Needs Python 3.11, pip and make. Everything runs in .venv, from a pinned lock.
PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python
SEED ?= 1
STEPS ?= 20000
SEEDS ?= 1
SECONDS ?= 20
# Processes that run the tests, a file in one of them: most tests wait for true clocks.
# The tests of crowds measure what a process takes, and run one at a time after them.
WORKERS ?= 6

# Sets of names are ordered by their hashes: with a fixed seed a run repeats exactly.
export PYTHONHASHSEED = 0

.PHONY: install demo test lint matrix soak chaos fault-soak bench-slopes bench-path bench-policy bench-logs up down

install: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps --editable .
	touch $@

demo: install
	$(RUN) -m bench.demo
	$(RUN) -m bench.fleet_demo

test: install
	$(RUN) -m pytest -q --numprocesses $(WORKERS) --dist loadfile --ignore tests/crowds
	$(RUN) -m pytest -q tests/crowds

lint: install
	$(VENV)/bin/black --check --quiet src standins bench tests
	$(VENV)/bin/ruff check --quiet src standins bench tests
	$(VENV)/bin/mypy

matrix: install
	$(RUN) -m tests.matrix

soak: install
	$(RUN) -m tests.soak --seed $(SEED) --steps $(STEPS)

chaos: install
	$(RUN) -m bench.chaos

fault-soak: install
	$(RUN) -m bench.faultsoak.run --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS)

bench-slopes: install
	$(RUN) -m bench.slopes

bench-path: install
	$(RUN) -m bench.path

bench-policy: install
	$(RUN) -m tests.policies

bench-logs: install
	$(RUN) -m bench.logcost

up: install
	$(RUN) -m bench.play up

down: install
	$(RUN) -m bench.play down
