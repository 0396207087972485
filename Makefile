# Task runner of the workspace.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SOURCES := $(CURDIR)/packages/trefoilreach/src:$(CURDIR)/packages/trefoilctl/src:$(CURDIR)/packages/trefoilreach-emulator/src
export PYTHONPATH := $(SOURCES)
SEEDS ?= 20
FUZZ_FIRST_SEED ?= 1000
SOAK_FIRST_SEED ?= 1
SOAK_SEEDS ?= 10
SOAK_SECONDS ?= 12
SOAK_DAEMONS ?= 4
SOAK_REPORT ?= .soak

.PHONY: venv lint types unit functional test fuzz soak demo bench capacity thrift format

# The stamp's name changes with the declared libraries, whatever the files' times.
DECLARED := $(shell cat requirements/*.txt packages/*/pyproject.toml | cksum | cut -d' ' -f1)
READY := $(VENV)/.ready-$(DECLARED)

$(READY):
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements/dev.txt setuptools wheel
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation \
		-e packages/trefoilreach -e packages/trefoilctl -e packages/trefoilreach-emulator
	touch $@

venv: $(READY)

format: venv
	$(BIN)/ruff format packages tests tools
	$(BIN)/ruff check --fix packages tests tools

lint: venv
	$(BIN)/ruff format --check packages tests tools
	$(BIN)/ruff check packages tests tools

types: venv
	$(BIN)/mypy packages/trefoilreach/src packages/trefoilctl/src packages/trefoilreach-emulator/src

unit: venv
	$(BIN)/python -m pytest tests/unit

functional: venv
	$(BIN)/python -m pytest tests/functional

test: lint types
	$(BIN)/python tools/run_tests.py

fuzz: venv
	$(BIN)/python tools/run_fuzz.py --seeds $(SEEDS) --first-seed $(FUZZ_FIRST_SEED)

demo: venv
	$(BIN)/python -m trefoilreach_emulator demo $(if $(ONCE),--once)

bench: venv
	$(BIN)/python -m trefoilreach_emulator bench --write

capacity: venv
	$(BIN)/python -m trefoilreach_emulator capacity --write

# Needs the thrift compiler 0.17 or newer; the generated code is committed.
thrift:
	rm -rf packages/trefoilreach/src/trefoilreach/_internal/protocol/gen
	mkdir -p packages/trefoilreach/src/trefoilreach/_internal/protocol/gen
	thrift --gen py:package_prefix=trefoilreach._internal.protocol.gen. \
		-out packages/trefoilreach/src/trefoilreach/_internal/protocol/gen \
		packages/trefoilreach/src/trefoilreach/_internal/protocol/peer.thrift
	thrift --gen py:package_prefix=trefoilreach._internal.protocol.gen. \
		-out packages/trefoilreach/src/trefoilreach/_internal/protocol/gen \
		packages/trefoilreach/src/trefoilreach/_internal/protocol/fleet.thrift
	rm -f packages/trefoilreach/src/trefoilreach/_internal/protocol/gen/peer/Peer-remote
	echo '"""Code generated from peer.thrift and fleet.thrift."""' > packages/trefoilreach/src/trefoilreach/_internal/protocol/gen/__init__.py

soak: venv
	$(BIN)/python -m trefoilreach_emulator soak --first-seed $(SOAK_FIRST_SEED) --seeds $(SOAK_SEEDS) --seconds $(SOAK_SECONDS) --daemons $(SOAK_DAEMONS) --report $(SOAK_REPORT)
