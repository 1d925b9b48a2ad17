PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint format bench soak regression binary lock

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

bench: $(VENV)/.installed
	$(BIN)/python -m bench

soak: $(VENV)/.installed
	$(BIN)/python -m soak --fresh 10 --jobs 2

regression: $(VENV)/.installed
	$(BIN)/python -m tests.regression $(MODE)

binary: $(VENV)/.installed
	rm -rf build dist && mkdir -p dist
	$(BIN)/python -m pip install --quiet --target build/site -r requirements.run.lock
	$(BIN)/python -m pip install --quiet --no-deps --target build/site .
	$(BIN)/shiv --site-packages build/site --console-script ryesaddle --compressed \
		--python '/usr/bin/env python3' --output-file dist/ryesaddle
