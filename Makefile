# The first target that is run installs everything that a new machine needs.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := packages/state packages/coordination packages/protocol packages/transport \
	packages/daemon packages/cli packages/devtools platform
EXAMPLES ?= 400
SEED ?= 1
SEEDS ?= 5
SECONDS ?= 20

PATTERN ?= lost

.PHONY: run test lint fuzz fuzz-teeth soak experiment plot bench capacity pins setup

setup: $(STAMP)

$(STAMP): requirements/dev.txt $(foreach p,$(PACKAGES),$(p)/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes -r requirements/dev.txt
	$(BIN)/uv pip install --quiet --python $(BIN)/python --no-deps --no-build-isolation \
		$(foreach p,$(PACKAGES),-e $(p))
	touch $(STAMP)

run: setup
	$(BIN)/python -m pearward_devtools.launcher $(if $(KEEP),--keep,)

test: setup
	$(BIN)/python -m pearward_devtools.check

lint: setup
	$(BIN)/python -m pearward_devtools.check --lint-only

fuzz-teeth: setup
	$(BIN)/python -m tests.fuzz.teeth

fuzz: setup
	EXAMPLES=$(EXAMPLES) $(BIN)/behave --tags=fuzz features

soak: setup
	$(BIN)/python -m pearward_devtools.mesh.soak --seed $(SEED) --seeds $(SEEDS) \
		--seconds $(SECONDS) $(if $(KEEP),--keep $(KEEP),)

experiment: setup
	$(BIN)/python -m pearward_devtools.experiment $(if $(ONLY),--pattern $(ONLY),) \
		--seeds $(SEEDS) $(foreach m,$(WITHOUT),--without $(m))

plot: setup
	$(BIN)/python -c "import matplotlib" 2>/dev/null || $(BIN)/uv pip install --quiet \
		--python $(BIN)/python --no-build-isolation -e "packages/devtools[plot]"
	$(BIN)/python -m pearward_devtools.experiment.plot --pattern $(PATTERN) --seed $(SEED)

bench: setup
	$(BIN)/python -m pearward_devtools.bench $(if $(ONLY),--only $(ONLY),)

capacity: setup
	$(BIN)/python -m pearward_devtools.capacity

pins: setup
	$(BIN)/uv pip compile --quiet --generate-hashes --no-header --no-emit-index-url \
		requirements/dev.in -o requirements/dev.txt
	$(BIN)/uv pip compile --quiet --generate-hashes --no-header --no-emit-index-url \
		-c requirements/dev.txt requirements/run.in -o requirements/run.txt
