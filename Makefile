VENV ?= .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed
PATHS := src tests standins bench tooling soak

# The users' bench; it is no part of this repository.
SYSTEM := ../given/kit/more/system
FLEETBENCH := $(SYSTEM)/more/bench-d17393/bin/fleetbench
JOBS ?= 2

.PHONY: env test lint format types style demo protos score hunt

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

# WHY="..." says in the journal what the run is for; SITES limits the sites.
SITES ?= $(shell grep -v '^\#' deploy/sites.txt | cut -d' ' -f1)

score:
	test -n "$(WHY)"
	for site in $(SITES); do \
		$(FLEETBENCH) score $(SYSTEM)/$$site --jobs $(JOBS) --why "$(WHY)" \
			|| exit 1; \
	done

hunt:
	test -n "$(WHY)"
	for site in $(SITES); do \
		days=$$(grep "^$$site " deploy/sites.txt | cut -d' ' -f2); \
		$(FLEETBENCH) hunt $(SYSTEM)/$$site --days $$days --jobs $(JOBS) \
			--why "$(WHY)" || exit 1; \
	done
