PYTHON ?= python3.11
VENV = .venv
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed

.PHONY: demo test lint bench format

$(STAMP): requirements.txt packages/core/pyproject.toml packages/node/pyproject.toml packages/client/pyproject.toml packages/dev/pyproject.toml platform/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV) || python3 -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable packages/core --editable packages/node --editable packages/client --editable packages/dev --editable platform
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m turmericcrank_dev.demo

test: $(STAMP)
	mkdir -p out
	$(BIN)/python -m behave --format json --outfile out/behave.json --format progress
	$(BIN)/python -m turmericcrank_dev.known_red
	$(BIN)/python -m turmericcrank_dev.proofs_check

lint: $(STAMP)
	$(BIN)/ruff format --check packages platform tests features
	$(BIN)/ruff check packages platform tests features
	$(BIN)/python -m flake8 packages platform tests features
	$(BIN)/python -m turmericcrank_dev.docs_check

format: $(STAMP)
	$(BIN)/ruff format packages platform tests features
	$(BIN)/ruff check --fix packages platform tests features

bench: $(STAMP)
	$(BIN)/python -m turmericcrank_dev.bench
