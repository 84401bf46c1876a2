# Everything a fresh machine needs is set up by the first target that wants it.
VENV := .venv
BIN := $(VENV)/bin
EXAMPLE ?= tenger
# Processes that share the tests; 0 runs them all in one.
WORKERS ?= 8
PACKAGES := $(wildcard packages/*)

.PHONY: demo up test bench capacity lint format lock proto clean

demo: $(VENV)/ready
	$(BIN)/python tools/demo.py

up: $(VENV)/ready
	$(BIN)/python tools/up.py $(EXAMPLE)

test: $(VENV)/ready
	$(BIN)/python -m pytest -n $(WORKERS) --dist loadgroup

# One JSON object a line on standard output, the comparison on standard error.
bench: $(VENV)/ready
	@$(BIN)/gradelug-bench run --plot docs/policy.png

# Repeats the measurements of docs/CAPACITY.md.
capacity: $(VENV)/ready
	@$(BIN)/gradelug-bench cost
	@$(BIN)/python tools/capacity.py

lint: $(VENV)/ready
	$(BIN)/black --check --quiet packages platform tests tools
	$(BIN)/ruff check packages platform tests tools
	$(BIN)/mypy packages/*/src platform/gradelug_platform

format: $(VENV)/ready
	$(BIN)/ruff check --fix packages platform tests tools
	$(BIN)/black --quiet packages platform tests tools

# Renews the pinned versions.
lock: $(VENV)/ready
	$(BIN)/pip-compile --quiet --strip-extras --no-emit-index-url --no-emit-trusted-host --allow-unsafe \
	    --output-file requirements.txt requirements.in

# Renews the committed stubs after a change of the protocol.
proto: $(VENV)/ready
	cd packages/wire/src && PATH="$(CURDIR)/$(BIN):$$PATH" python -m grpc_tools.protoc -I. --python_out=. \
	    --pyi_out=. --grpclib_python_out=. gradelug_wire/control.proto gradelug_wire/placement.proto

$(VENV)/ready: requirements.txt $(wildcard packages/*/pyproject.toml)
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(addprefix -e ./,$(PACKAGES))
	touch $@

clean:
	rm -rf $(VENV) .run
