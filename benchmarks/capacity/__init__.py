"""Measures how costs grow with size, and extrapolates them to the size of docs/CAPACITY.md.

.venv/bin/python -m benchmarks.capacity [--row NAME] [--quick] [--json]
"""
