"""Imports run downwards and form no circle: read from the source by `ast`, wherever in a file they stand.

What is imported for types alone (`if TYPE_CHECKING:`) is never run; it is counted apart, by the same rules.
That a module's import runs the `__init__` of the packages above it is not counted."""

import ast
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = "otterrudder"

# The lowest first: packages and modules right below the root; what lies deeper is of its package. Each may
# import from itself and from lower layers: not from another name of its layer, nor from a higher one.
LAYERS = (
    ("otterrudder",),  # the version alone
    ("otterrudder.clock", "otterrudder.files", "otterrudder.log"),
    ("otterrudder.admission",),
    ("otterrudder.durable", "otterrudder.levels", "otterrudder.vrrp"),
    ("otterrudder.configuration", "otterrudder.drill"),
    ("otterrudder.fleet",),
    ("otterrudder.net",),
    ("otterrudder.lab",),
    ("otterrudder.cli",),
    ("otterrudder.__main__",),
)
HEIGHTS = {name: height for height, names in enumerate(LAYERS) for name in names}


@dataclass(frozen=True, order=True)
class Import:
    """One module's import of another; `for_types`: it stands under `if TYPE_CHECKING:`."""

    importer: str
    imported: str
    for_types: bool


def module_name(path: Path, root: Path) -> str:
    parts = path.relative_to(root).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def sources(root: Path = ROOT) -> dict[str, str]:
    return {module_name(path, root): path.read_text() for path in sorted((root / PACKAGE).rglob("*.py"))}


def is_for_types(node: ast.AST) -> bool:
    return isinstance(node, ast.If) and ast.unparse(node.test) in ("TYPE_CHECKING", "typing.TYPE_CHECKING")


def nodes(tree: ast.AST, for_types: bool = False) -> Iterator[tuple[ast.AST, bool]]:
    """Every node, and whether it is of a block that is for types alone."""
    yield tree, for_types
    alone = set(map(id, tree.body)) if is_for_types(tree) else set()
    for child in ast.iter_child_nodes(tree):
        yield from nodes(child, for_types or id(child) in alone)


def names_imported(node: ast.AST, importer: str) -> list[str]:
    if isinstance(node, ast.Import):
        return [alias.name for alias in node.names]
    if isinstance(node, ast.ImportFrom):
        assert not node.level, f"{importer}: a relative import, which this project does not use"
        return [f"{node.module}.{alias.name}" for alias in node.names]
    return []


def imports_of(texts: dict[str, str]) -> set[Import]:
    """All imports among these modules. `from a import b` is of `a.b` where that is a module, else of `a`."""
    found = set()
    for importer, text in texts.items():
        for node, for_types in nodes(ast.parse(text)):
            for name in names_imported(node, importer):
                imported = name if name in texts else name.rpartition(".")[0]
                if imported in texts and imported != importer:
                    found.add(Import(importer, imported, for_types))
    return found


def layer_name(module: str) -> str:
    """The name in LAYERS that a module is of; KeyError if there is none."""
    name = ".".join(module.split(".")[:2])
    if name not in HEIGHTS:
        raise KeyError(f"{module} is in no layer")
    return name


def is_upward(one: Import) -> bool:
    importer, imported = layer_name(one.importer), layer_name(one.imported)
    return importer != imported and HEIGHTS[imported] >= HEIGHTS[importer]


def circle(imports: set[Import]) -> list[str]:
    """The modules of one circle in order, the first again at the end; empty if there is none."""
    targets: dict[str, list[str]] = {}
    for one in sorted(imports):
        targets.setdefault(one.importer, []).append(one.imported)
    done: set[str] = set()

    def walk(module: str, path: list[str]) -> list[str]:
        if module in path:
            return [*path[path.index(module) :], module]
        if module in done:
            return []
        for target in targets.get(module, []):
            if found := walk(target, [*path, module]):
                return found
        done.add(module)
        return []

    for module in targets:
        if found := walk(module, []):
            return found
    return []


def test_every_module_is_in_a_layer_and_every_layer_is_in_use() -> None:
    used = {layer_name(module) for module in sources()}
    assert used == HEIGHTS.keys()


def test_no_import_that_is_run_goes_upward() -> None:
    assert not sorted(one for one in imports_of(sources()) if not one.for_types and is_upward(one))


def test_no_import_for_types_goes_upward() -> None:
    assert not sorted(one for one in imports_of(sources()) if one.for_types and is_upward(one))


def test_imports_that_are_run_form_no_circle() -> None:
    assert not circle({one for one in imports_of(sources()) if not one.for_types})


def test_no_circle_with_the_imports_for_types() -> None:
    assert not circle(imports_of(sources()))


# What the checks find, on sources made for them.

TYPED = """
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from otterrudder.net import core
else:
    pass
"""


@pytest.mark.parametrize(
    ("text", "imported", "for_types"),
    [
        ("import otterrudder.net.core\n", "otterrudder.net.core", False),
        ("from otterrudder.net import core\n", "otterrudder.net.core", False),
        ("from otterrudder.net.core import Core\n", "otterrudder.net.core", False),
        ("def later():\n    from otterrudder.net import core\n", "otterrudder.net.core", False),
        ("from otterrudder.net import __doc__\n", "otterrudder.net", False),
        (TYPED, "otterrudder.net.core", True),
        (TYPED.replace("pass", "import otterrudder.net"), "otterrudder.net", False),
    ],
)
def test_an_import_is_found_in_each_form(text: str, imported: str, for_types: bool) -> None:
    texts = {"otterrudder.vrrp.admission_gate": text, "otterrudder.net": "", "otterrudder.net.core": ""}
    assert Import("otterrudder.vrrp.admission_gate", imported, for_types) in imports_of(texts)


@pytest.mark.parametrize(
    ("importer", "imported", "upward"),
    [
        ("otterrudder.vrrp.admission_gate", "otterrudder.net.core", True),
        ("otterrudder.vrrp.admission_gate", "otterrudder.levels.table", True),  # beside it
        ("otterrudder.net.core", "otterrudder.vrrp.admission_gate", False),
        ("otterrudder.net.core", "otterrudder.net.serve", False),  # of one package: the circles are looked at
        ("otterrudder.lab.processes.mutants", "otterrudder.cli.serve", True),
    ],
)
def test_what_counts_as_upward(importer: str, imported: str, upward: bool) -> None:
    assert is_upward(Import(importer, imported, False)) is upward


def test_a_module_of_no_layer_is_told() -> None:
    with pytest.raises(KeyError):
        layer_name("otterrudder.unheard_of")


def test_a_circle_is_found() -> None:
    pairs = [("a", "b"), ("b", "c"), ("c", "b"), ("a", "d")]
    assert circle({Import(*pair, False) for pair in pairs}) == ["b", "c", "b"]
    assert circle({Import(*pair, False) for pair in pairs if pair != ("c", "b")}) == []
