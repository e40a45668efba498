# Each target does its own set-up; see README.md.
PYTHON ?= python3.11
VENV ?= .venv
RUN := $(VENV)/bin/python

.PHONY: setup demo platform-demo soak test bench capacity binary format lint thrift clean

$(VENV)/.ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --upgrade pip
	$(VENV)/bin/pip install --quiet -e '.[develop]'
	touch $@

setup: $(VENV)/.ready

demo: setup
	$(RUN) -m nutmeghook demo

platform-demo: setup
	$(RUN) -m nutmeghook platform_demo

soak: setup
	$(RUN) -m tools.soaks $(SEEDS)

test: setup
	$(RUN) -m tests

bench: setup
	$(RUN) -m bench

capacity: setup
	$(RUN) -m bench.capacity

binary: setup
	$(RUN) -m tools.binary
	TESTED_BINARY=dist/nutmeghook $(RUN) -m tests whole.test_binary

format: setup
	$(VENV)/bin/ruff format .

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

# Needs the thrift compiler (Debian: thrift-compiler). The generated code is
# committed, so that builds and tests do not.
thrift:
	rm -rf build/thrift && mkdir -p build/thrift
	thrift --gen py:slots -out build/thrift \
	    src/nutmeghook/internal/inner/messages.thrift
	cp build/thrift/nutmeghook/internal/inner/generated/*.py \
	    src/nutmeghook/internal/inner/generated/

clean:
	rm -rf build dist out
