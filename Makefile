VENV ?= .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed
PATHS := src tests standins bench tooling soak

.PHONY: env test lint format types style demo protos

env: $(STAMP)

# Two steps, so that a fresh clone installs exactly what the lock file names.
$(STAMP): requirements.lock pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install -q -r requirements.lock
	$(PYTHON) -m pip install -q --no-deps --no-build-isolation -e . 
	touch $(STAMP)

test: env
	$(PYTHON) -m pytest

lint: env style types

style: env
	$(VENV)/bin/ruff format --check -q $(PATHS)
	$(VENV)/bin/flake8 $(PATHS)

types: env
	$(VENV)/bin/mypy

format: env
	$(VENV)/bin/ruff format -q $(PATHS)

demo: env
	$(PYTHON) -m standins.demo $(if $(JSON),--json,) $(if $(SHORT),--short,)

protos: env
	$(PYTHON) -m tooling.generate_protos
