# Development targets. `make demo` and `make test` require only Python 3.11, pip
# and make.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := skylarkdoor skylarkdoord skylarkdoor-client skylarkdoor-standins skylarkdoor-bench
EDITABLE := $(foreach package,$(PACKAGES),-e packages/$(package)) -e platform
SEED ?= 1
MINUTES ?= 5
TEST_PROCESSES ?= 6

.PHONY: setup lint test demo bench slopes soak proto

$(VENV)/.ready: constraints.txt requirements-dev.txt $(foreach package,$(PACKAGES),packages/$(package)/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --requirement requirements-dev.txt
	$(BIN)/pip install --quiet --constraint constraints.txt --no-build-isolation $(EDITABLE)
	touch $@

setup: $(VENV)/.ready

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports --no-cache

test: setup
	$(BIN)/pytest --numprocesses $(TEST_PROCESSES)

demo: setup
	rm -rf target/demo
	$(BIN)/python -m skylarkdoor_bench demo --directory target/demo $(if $(KEEP),--keep)

bench: setup
	$(BIN)/python -m skylarkdoor_bench run

slopes: setup
	$(BIN)/python -m skylarkdoor_bench slopes

soak: setup
	$(BIN)/python -m skylarkdoor_bench soak --seed $(SEED) --minutes $(MINUTES)

# Regenerates the committed protobuf code; needed only after a change of the wire
# format.
proto: setup
	$(BIN)/pip install --quiet grpcio-tools
	cd packages/skylarkdoor/src && PATH="$(CURDIR)/$(BIN):$$PATH" ../../../$(BIN)/python -m grpc_tools.protoc -I. \
		--python_out=. --pyi_out=. --grpclib_python_out=. skylarkdoor/wire/peer.proto
