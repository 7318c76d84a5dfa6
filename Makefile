# Development targets. `make demo` and `make test` require only Python 3.11, pip and
# make, and on arm64 also a C compiler.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := skylarkdoor skylarkdoord skylarkdoor-client skylarkdoor-standins skylarkdoor-bench
OWN := $(PACKAGES:%=packages/%) platform
SEED ?= 1
MINUTES ?= 5
TEST_PROCESSES ?= 6
BROKEN_ANSWERS := $(wildcard tests/adapter/test_broken_*.py tests/adapter/test_early_answers.py \
	packages/skylarkdoord/tests/test_broken_heads.py packages/skylarkdoord/tests/test_stray_bytes.py)

.PHONY: setup lint test demo bench slopes soak proto

# The stamp names the kind of machine and the version of Python, for example
# linux-aarch64-3.11.6.
KIND := $(shell $(PYTHON) -c 'import platform, sysconfig; print(sysconfig.get_platform(), platform.python_version(), sep="-")')
READY := $(VENV)/.ready-$(KIND)

$(READY): constraints.txt tools/setup.sh $(OWN:%=%/pyproject.toml)
	tools/setup.sh $(PYTHON) $(VENV) $(OWN)
	touch $@

setup: $(READY)

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports --no-cache

# The tests with crowds run one at a time and apart from the others. Those of broken
# answers run with both parsers of aiohttp; which one it has depends on its installation.
test: setup
	status=0; \
	AIOHTTP_NO_EXTENSIONS=1 $(BIN)/pytest --numprocesses $(TEST_PROCESSES) $(BROKEN_ANSWERS) || status=$$?; \
	$(BIN)/pytest --numprocesses $(TEST_PROCESSES) --ignore tests/crowds || status=$$?; \
	$(BIN)/pytest tests/crowds || status=$$?; \
	exit $$status

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
