"""What today's parts cost by size, and what that comes to at the size of docs/CAPACITY.md.

.venv/bin/python -m benchmarks.capacity [--row NAME] [--quick] [--json]
"""
