# What CI, README and a developer use alike.
PY = .venv/bin/python

.PHONY: build test lint run demo clean

build: .venv/dev  ## the environment, with what tests and lint need

.venv/dev: requirements.txt requirements-lab.txt requirements-fleet.txt requirements-dev.txt
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements-dev.txt
	touch .venv/dev

test: build  ## the pure tests side by side, then those on sockets, with processes or by a clock, one at a time
	$(PY) -m pytest -q -n auto -m "not exclusive"
	$(PY) -m pytest -q -m exclusive

lint: build
	.venv/bin/ruff check .
	.venv/bin/ruff format --check --quiet .
	.venv/bin/mypy

run: build  ## serve; NODE_CONFIG names the configuration
	$(PY) -m otterrudder serve

demo: build  ## a short evening that crosses the levels, in simulated time: no configuration, no network
	$(PY) -m otterrudder lab demo

clean:
	rm -rf .venv .pytest_cache .ruff_cache
