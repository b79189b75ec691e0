"""Policies and tables of levels for the clusters here: each rejects one product from its start to its end."""

LEVELS_TEMPLATE = """version = 1
start = "cut"

[[level]]
name = "cut"
least_stay_s = 1.0
trial_s = 600.0
entry = {{ for_s = 1.0, busy = 0.9 }}
exit = {{ for_s = 2.0, busy = 0.01 }}
cut = [{{ do = "decline", products = ["{product}"] }}]
"""


def levels_text(rejected_product: str) -> str:
    """A table of levels that rejects one product."""
    return LEVELS_TEMPLATE.format(product=rejected_product)


def policy_text(rejected_product: str, number: int) -> str:
    """A policy that rejects one product; each number gives another digest."""
    table = levels_text(rejected_product).replace("[[level]]", "[[levels.level]]")
    return f"# policy {number}\nversion = 1\n[levels]\n{table}"
