PORT ?= 8080
PYTHON ?= python3
BIN := .venv/bin

.PHONY: demo test lint format install nightly bench

.venv/installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch .venv/installed

install: .venv/installed

demo: install
	PORT=$(PORT) $(BIN)/python -m wigeonwind.roles.demo

test: install
	$(BIN)/python -m pytest

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python -m mypy

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

nightly: install
	$(BIN)/python -m pytest -m nightly tests
