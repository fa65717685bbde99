PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: setup test lint format demo demo-platform up bench bench-policy clean

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -r requirements.txt
	$(BIN)/python -m pip install -q --no-deps -e .
	touch $@

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/black --check -q balsamtally standins tests
	$(BIN)/ruff check -q balsamtally standins tests

format: setup
	$(BIN)/black -q balsamtally standins tests
	$(BIN)/ruff check -q --fix balsamtally standins tests

demo: setup
	$(BIN)/python -m standins.demo

demo-platform: setup
	$(BIN)/python -m standins.grid_demo

up: setup
	$(BIN)/python -m standins.demo --stay

bench: setup
	$(BIN)/python -m standins.bench
	$(BIN)/python -m standins.bench_links
	$(BIN)/python -m standins.bench_capacity
	$(BIN)/python -m standins.bench_control
	$(BIN)/python -m standins.plots

bench-policy: setup
	$(BIN)/python -m standins.bench_policy

clean:
	rm -rf build bench-results demo-run .hypothesis
