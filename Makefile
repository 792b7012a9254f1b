# All that a fresh machine needs: python3 with venv, and the package registry.
VENV := .venv
PYTHON := $(VENV)/bin/python
REQUIREMENTS := requirements.txt requirements-control.txt requirements-dev.txt

.PHONY: try test install

try: install
	$(PYTHON) -m mastlift lab try

test: install
	$(PYTHON) -m ruff check .
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m mypy
	$(PYTHON) -m pytest

install: $(VENV)/.installed

$(VENV)/.installed: $(REQUIREMENTS)
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip -q install $(addprefix -r ,$(REQUIREMENTS))
	touch $@
