# Every target sets itself up: the stamp file installs the package and its tools.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint format bench bench-slopes soak clean

$(STAMP): pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -e '.[dev,report]'
	touch $@

demo: $(STAMP)
	$(BIN)/python -m lacewingcross demo

# All tests of a file run in one process, one after the other.
TEST_PROCESSES ?= 4
test: $(STAMP)
	$(BIN)/python -m pytest -n $(TEST_PROCESSES) --dist loadfile

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(STAMP)
	$(BIN)/python -m bench.run

bench-slopes: $(STAMP)
	$(BIN)/python -m bench.slopes
	$(BIN)/python -m bench.capacity

MINUTES ?= 5
soak: $(STAMP)
	$(BIN)/python -m bench.soak --minutes $(MINUTES)

clean:
	rm -rf $(VENV) build *.egg-info
