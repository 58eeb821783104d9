# Development entry points. `make help` lists them.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := packages/bambooglade packages/bambooglade-ctl packages/bambooglade-standins

# Stateful fuzzing: `make fuzz SEED=7 EXAMPLES=2000 STEPS=80`.
SEED ?= 0
EXAMPLES ?= 500
STEPS ?= 60

# Fault soak with real processes: `make soak SEED=7 SECONDS=60`; FAULT names a
# deliberate fault that it has to find. `make soak SEED=7 RELEASES=8` kills all
# gateways in each of eight releases instead. `make soak SEED=7 FLEET=quetzal`
# runs a fleet of that size with engines and callers as processes too; TROUBLES
# (pauses, all, or names with "+" between them), LOAD and GRACE say what it bears.
SECONDS ?= 30
FAULT ?=
RELEASES ?= 0
FLEET ?=
TROUBLES ?= pauses
LOAD ?= 1
GRACE ?= 8

.PHONY: help env run test check format unit measure fuzz soak clean

help: ## List the targets.
	@grep -hE '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/\t/'

$(STAMP): requirements-dev.in constraints.txt $(addsuffix /pyproject.toml,$(PACKAGES))
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -c constraints.txt \
	  -r requirements-dev.in
	$(BIN)/pip install -q --disable-pip-version-check -c constraints.txt \
	  --no-build-isolation $(addprefix -e ,$(PACKAGES))
	touch $(STAMP)

env: $(STAMP) ## Create the virtual environment.

run: env ## Start the stand-ins and two zones, and send example requests.
	tools/demo/run.sh $(BIN)

check: env ## Run the formatter and the linter without changing files.
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: env ## Format the code and apply the linter's safe corrections.
	$(BIN)/ruff format -q .
	$(BIN)/ruff check --fix -q .
	$(BIN)/ruff format -q .

unit: env ## Run the tests and the doctests.
	$(BIN)/python -m pytest -n 8 --dist worksteal -m "not isolated"
	$(BIN)/python -m pytest -m isolated

test: check unit ## Run all checks and tests.

measure: env ## Print the measurements as key=value lines.
	$(BIN)/python -m benchmarks

fuzz: env ## Run a long stateful fuzz: SEED, EXAMPLES, STEPS.
	$(BIN)/python -m benchmarks.fuzz --seed=$(SEED) --examples=$(EXAMPLES) \
	  --steps=$(STEPS)

soak: env ## Run gateway processes under faults: SEED, SECONDS, RELEASES or FLEET.
	$(BIN)/python -m bambooglade_standins.users_platform.soak --seed=$(SEED) \
	  --seconds=$(SECONDS) --fault=$(FAULT) --releases=$(RELEASES) \
	  --fleet=$(FLEET) --troubles=$(TROUBLES) \
	  --load=$(LOAD) --grace=$(GRACE)

clean: ## Remove the environment and the outputs.
	rm -rf $(VENV) build reports run
