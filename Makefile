VENV ?= .venv
PYTHON := $(VENV)/bin/python
export PYTHONPATH := src:.

.PHONY: venv test lint demo model model-mutants fuzz soak bench capacity
venv: $(VENV)/installed

$(VENV)/installed: requirements.txt pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet -r requirements.txt
	$(PYTHON) -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

test: venv
	$(PYTHON) -m pytest

lint: venv
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

demo: venv
	$(PYTHON) -m demo.run

model: venv
	$(PYTHON) -m model.run

model-mutants: venv
	$(PYTHON) -m model.mutants

fuzz: venv
	$(PYTHON) -m tests.fuzz.run

bench: venv
	$(PYTHON) -m bench.run

capacity: venv
	$(PYTHON) -m bench.capacity

soak: venv
	$(PYTHON) -m soak.run
