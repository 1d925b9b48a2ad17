PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint format bench binary lock

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps -e .
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m demo.run

test: $(VENV)/.installed
	$(BIN)/python -m tests

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lock: $(VENV)/.installed
	$(BIN)/python -m pip install --quiet uv
	$(BIN)/uv pip compile -q --no-header --no-annotate --all-extras pyproject.toml -o requirements.lock
