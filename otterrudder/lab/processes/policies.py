"""Policies and tables of levels for clusters of processes; each of them always rejects one product."""

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
    """Returns a table of levels that rejects one product."""
    return LEVELS_TEMPLATE.format(product=rejected_product)


def policy_text(rejected_product: str, number: int) -> str:
    """Returns a policy that rejects one product; its digest differs for each number."""
    table = levels_text(rejected_product).replace("[[level]]", "[[levels.level]]")
    return f"# policy {number}\nversion = 1\n[levels]\n{table}"
