# All targets work in a folder whose path contains spaces.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint format fuzz bench plots gen clean soak

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -c constraints.txt -e '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python tools/demo.py

test: $(STAMP)
	PYTHONHASHSEED=0 $(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/python -m ruff format --check .
	$(BIN)/python -m ruff check .

format: $(STAMP)
	$(BIN)/python -m ruff format .
	$(BIN)/python -m ruff check --fix .

fuzz: $(STAMP)
	HYPOTHESIS_PROFILE=long $(BIN)/python -m pytest -k Machine

bench: $(STAMP)
	$(BIN)/python -m pip install --quiet -c constraints.txt -e '.[bench]'
	$(BIN)/python -m bench

gen:
	thrift --gen py:slots -out src/_arbutuswalk/wire/gen \
	  src/_arbutuswalk/wire/arbutuswalk.thrift

clean:
	rm -rf $(VENV) build *.egg-info

soak: $(STAMP)
	PYTHONPATH=testing:platform $(BIN)/python -m soak --seeds 50 --jobs 3
