# `make run` and `make test` need nothing but Python 3.11; they make their own environment.
PYTHON ?= python3
BIN := .venv/bin
READY := .venv/ready

.PHONY: run test lint bench soak measure clean

run: $(READY)
	$(BIN)/python -m standins.run $(if $(KEEP),keep)

test: $(READY)
	$(BIN)/python -m tools.run_tests

lint: $(READY)
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check --quiet .

bench: $(READY)
	$(BIN)/python -m bench.slopes
	$(BIN)/python -m bench.data_path
	$(BIN)/python -m bench.control
	$(BIN)/python -m bench.relay
	$(BIN)/python -m bench.placement

# SEED=7 plays one seed, MINUTES=5 those after it as well for so long.
soak: $(READY)
	$(BIN)/python -m soak.run $(or $(SEED),1) --minutes=$(or $(MINUTES),0)

measure: $(READY)
	$(BIN)/python -m bench.measure

$(READY): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt -r requirements-dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps -e .
	touch $(READY)

clean:
	rm -rf .venv build src/*.egg-info
