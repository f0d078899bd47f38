VENV ?= .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: env lint format test demo smoke soak measure

env: $(STAMP)

$(STAMP): requirements/dev.txt pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --require-hashes -r requirements/dev.txt
	$(PY) -m pip install --quiet --no-build-isolation --no-deps -e .
	touch $(STAMP)

lint: env
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m mypy

format: env
	$(PY) -m ruff format .
	$(PY) -m ruff check --fix .

test: env
	$(PY) -m bergamotdrift.tests

demo: env
	$(PY) -m scripts.demo

smoke: env
	$(PY) -m scripts.smoke

# Seeds from SEED on; see docs/proofs.md.
SEED ?= 1
SEEDS ?= 1
soak: env
	$(PY) -m scripts.soak --seed $(SEED) --seeds $(SEEDS)

measure: env
	$(PY) -m scripts.measure
