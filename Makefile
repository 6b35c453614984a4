VENV ?= .venv
PY := $(VENV)/bin/python
export PYTHONPATH := src:.
export UV_USE_IO_URING := 0

.PHONY: all venv test unit lint format demo bench binary soak simulate fuzz score hunt regression clean

all: test

# An environment given as VENV=... is used as it is: several checkouts share
# one, and file times of each checkout would install into it again.
ifeq ($(VENV),.venv)
venv: $(VENV)/.installed
else
venv:
endif

$(VENV)/.installed: requirements.txt requirements-dev.txt
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

lint: venv
	$(VENV)/bin/ruff format --check --quiet src tests bench tools
	$(VENV)/bin/flake8 src tests bench tools
	$(VENV)/bin/mypy

format: venv
	$(VENV)/bin/ruff format --quiet src tests bench tools

unit: venv
	$(PY) tools/run_tests.py $(TESTS)

test: lint unit

demo: venv
	$(PY) -m poplardrum demo

bench: venv
	$(PY) -m bench

binary: venv
	$(PY) tools/build_binary.py

SEED ?= 1
COUNT ?= 1
SECONDS ?= 20
soak: venv
	$(PY) -m tools.soak --seed $(SEED) --count $(COUNT) --seconds $(SECONDS)

# Virtual time: a scenario of SECONDS=20 takes about three.
simulate: venv
	$(PY) -m tools.simulation --seed $(SEED) --count $(COUNT) --seconds $(SECONDS)

# Random examples and seeds until the time is over.
fuzz: venv
	$(PY) -m tools.fuzz --seconds $(SECONDS)

# The users' bench stands outside this repository: BENCH=program SITE=file.
WHY ?= look
JOBS ?= 5
DAYS ?= 40
score:
	$(BENCH) score $(SITE) --jobs $(JOBS) --why "$(WHY)"

hunt:
	$(BENCH) hunt $(SITE) --days $(DAYS) --jobs $(JOBS) --why "$(WHY)"

# Site files of the regression runs, in KIT, the users' folder of them.
REGRESSION_SITES := grown/caballeriza-comun-grown grown/lakeshore-tubes-grown \
	further/tvscu-poplardrum further-grown/tvscu-poplardrum-grown \
	large/lakeshore-tubes-large
regression:
	for site in $(REGRESSION_SITES); do \
		$(BENCH) score $(KIT)/$$site.toml --jobs 2 --why "$(WHY)" || exit 1; \
	done

clean:
	rm -rf .venv build dist .mypy_cache .ruff_cache
