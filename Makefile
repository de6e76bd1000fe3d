# Every target works on a fresh machine: the virtual environment is built first.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
# Crowds of callers need a machine without other load.
CROWDS := tests/test_abusive_callers.py
CODE := egretlanding standins lab soak tests
WORKERS ?= 6

.PHONY: test check format lint types unit demo generate pages clean

$(VENV)/.installed: requirements/lock.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --no-deps --requirement requirements/lock.txt
	touch $@

test: check unit

check: $(VENV)/.installed
	$(BIN)/ruff format --check $(CODE)
	$(BIN)/ruff check $(CODE)
	$(BIN)/flake8 $(CODE)
	$(BIN)/mypy egretlanding standins lab soak

format: $(VENV)/.installed
	$(BIN)/ruff format $(CODE)
	$(BIN)/ruff check --fix $(CODE)

unit: $(VENV)/.installed
	$(BIN)/python -m pytest -n $(WORKERS) --dist loadfile --ignore=$(CROWDS)
	$(BIN)/python -m pytest $(CROWDS)

demo: $(VENV)/.installed
	mkdir -p build
	@echo 'logs of all processes: build/demo.log'
	$(BIN)/python -m standins.demo 2>build/demo.log || (tail -n 20 build/demo.log; exit 1)

generate: $(VENV)/.installed
	$(BIN)/pip install --quiet --requirement requirements/generate.txt
	PATH=$(abspath $(BIN)):$$PATH python -m grpc_tools.protoc -I . \
	    --python_out=. --grpclib_python_out=. egretlanding/exchange.proto

pages: $(VENV)/.installed
	$(BIN)/python -m egretlanding.pages

clean:
	rm -rf $(VENV) build .mypy_cache .ruff_cache .pytest_cache .hypothesis
