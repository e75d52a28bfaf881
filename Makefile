# Everything runs in a virtualenv of the checkout; nothing else is needed.
PYTHON ?= python3
VENV ?= .venv
RUN := $(VENV)/bin/python
export PYTHONHASHSEED := 0

.PHONY: demo test lint format generate check-generated fuzz bench capacity

# Runs a small fleet of real processes and ends by itself.
demo: $(VENV)/ready
	$(RUN) -m demo.run

# Runs every test.
test: $(VENV)/ready
	$(RUN) -m nose2 -t .

lint: $(VENV)/ready
	$(VENV)/bin/ruff format --check -q .
	$(VENV)/bin/ruff check -q .
	$(VENV)/bin/flake8

format: $(VENV)/ready
	$(VENV)/bin/ruff check -q --fix .
	$(VENV)/bin/ruff format -q .

# Writes the code and pages that are generated.
generate: $(VENV)/ready
	$(RUN) -m flamingovalve.schema.generate
	$(RUN) -m flamingovalve.cmd.reference
	$(VENV)/bin/ruff check -q --fix flamingovalve/generated
	$(VENV)/bin/ruff format -q flamingovalve/generated

# Fails when what is committed is not what the schemas give.
check-generated: generate
	git diff --exit-code -- flamingovalve/generated docs/settings.md docs/metrics.md

# Runs the stateful fuzzer for longer: make fuzz SEED=3 RUNS=200
SEED ?= 1
RUNS ?= 100
fuzz: $(VENV)/ready
	$(RUN) -m tests.fuzz --seed $(SEED) --runs $(RUNS)

bench: $(VENV)/ready
	$(RUN) -m benchmarks.run

capacity: $(VENV)/ready
	$(RUN) -m benchmarks.capacity

$(VENV)/ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q --disable-pip-version-check -r requirements.lock
	$(VENV)/bin/pip install -q --disable-pip-version-check --no-deps -e .
	touch $@
