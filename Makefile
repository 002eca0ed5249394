PORT ?= 8080
PYTHON ?= python3
BIN := .venv/bin

.PHONY: demo test lint format install nightly bench help

.venv/installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch .venv/installed

install: .venv/installed  ## install into .venv

demo: install  ## run the whole path on loopback (PORT=8080)
	PORT=$(PORT) $(BIN)/python -m wigeonwind.runtime.demo

test: install  ## run the tests
	$(BIN)/python -m pytest

lint: install  ## check format, style and types
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python -m mypy

format: install  ## format the code
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

nightly: install  ## run the long tests
	$(BIN)/python -m pytest -m nightly tests

help:  ## list the targets
	@sed -n 's/^\([a-z]*\):.*## /\1: /p' $(MAKEFILE_LIST)
