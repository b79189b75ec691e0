"""Checks that imports only go to lower layers and form no cycle.

Imports are read from the source by `ast`, wherever they are in a file. Imports under `if TYPE_CHECKING:` are
checked separately, by the same rules. The `__init__` modules that an import runs implicitly are ignored."""

import ast
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = "otterrudder"

# The layers, the lowest first, with the packages and modules directly below the root. A submodule belongs to
# its package. A package may import from itself and from lower layers, but not from others of its own layer.
LAYERS = (
    ("otterrudder",),  # only the version
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
    """An import of one module by another. `for_types` is set under `if TYPE_CHECKING:`."""

    importer: str
    imported: str
    for_types: bool


def module_name(path: Path, root: Path) -> str:
    parts = path.relative_to(root).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def read_sources(root: Path = ROOT) -> dict[str, str]:
    return {module_name(path, root): path.read_text() for path in sorted((root / PACKAGE).rglob("*.py"))}


def is_for_types(node: ast.AST) -> bool:
    return isinstance(node, ast.If) and ast.unparse(node.test) in ("TYPE_CHECKING", "typing.TYPE_CHECKING")


def walk_nodes(tree: ast.AST, for_types: bool = False) -> Iterator[tuple[ast.AST, bool]]:
    """Yields every node, and whether it is under `if TYPE_CHECKING:`."""
    yield tree, for_types
    guarded = set(map(id, tree.body)) if is_for_types(tree) else set()
    for child in ast.iter_child_nodes(tree):
        yield from walk_nodes(child, for_types or id(child) in guarded)


def imported_names(node: ast.AST, importer: str) -> list[str]:
    if isinstance(node, ast.Import):
        return [alias.name for alias in node.names]
    if isinstance(node, ast.ImportFrom):
        assert not node.level, f"{importer}: a relative import, which this project does not use"
        return [f"{node.module}.{alias.name}" for alias in node.names]
    return []


def find_imports(texts: dict[str, str]) -> set[Import]:
    """Returns all imports among these modules.

    `from a import b` imports `a.b` if that is a module, and otherwise `a`."""
    imports = set()
    for importer, text in texts.items():
        for node, for_types in walk_nodes(ast.parse(text)):
            for name in imported_names(node, importer):
                imported = name if name in texts else name.rpartition(".")[0]
                if imported in texts and imported != importer:
                    imports.add(Import(importer, imported, for_types))
    return imports


def layer_name(module: str) -> str:
    """Returns the name in LAYERS that a module belongs to. Raises KeyError if there is none."""
    name = ".".join(module.split(".")[:2])
    if name not in HEIGHTS:
        raise KeyError(f"{module} belongs to no layer")
    return name


def is_upward(import_: Import) -> bool:
    importer, imported = layer_name(import_.importer), layer_name(import_.imported)
    return importer != imported and HEIGHTS[imported] >= HEIGHTS[importer]


def find_cycle(imports: set[Import]) -> list[str]:
    """Returns the modules of a cycle in order, with the first repeated at the end, or an empty list."""
    targets: dict[str, list[str]] = {}
    for import_ in sorted(imports):
        targets.setdefault(import_.importer, []).append(import_.imported)
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


def test_layers_list_exactly_the_modules_of_the_package() -> None:
    used = {layer_name(module) for module in read_sources()}
    assert used == HEIGHTS.keys()


def test_no_runtime_import_goes_upward() -> None:
    assert not sorted(
        import_ for import_ in find_imports(read_sources()) if not import_.for_types and is_upward(import_)
    )


def test_no_type_checking_import_goes_upward() -> None:
    assert not sorted(
        import_ for import_ in find_imports(read_sources()) if import_.for_types and is_upward(import_)
    )


def test_runtime_imports_form_no_cycle() -> None:
    assert not find_cycle({import_ for import_ in find_imports(read_sources()) if not import_.for_types})


def test_all_imports_form_no_cycle() -> None:
    assert not find_cycle(find_imports(read_sources()))


# Tests of the checks themselves, on constructed sources.

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
def test_every_form_of_import_is_found(text: str, imported: str, for_types: bool) -> None:
    texts = {"otterrudder.vrrp.admission_gate": text, "otterrudder.net": "", "otterrudder.net.core": ""}
    assert Import("otterrudder.vrrp.admission_gate", imported, for_types) in find_imports(texts)


@pytest.mark.parametrize(
    ("importer", "imported", "upward"),
    [
        ("otterrudder.vrrp.admission_gate", "otterrudder.net.core", True),
        ("otterrudder.vrrp.admission_gate", "otterrudder.levels.table", True),  # same layer
        ("otterrudder.net.core", "otterrudder.vrrp.admission_gate", False),
        ("otterrudder.net.core", "otterrudder.net.serve", False),  # same package: only cycles are forbidden
        ("otterrudder.lab.processes.mutants", "otterrudder.cli.serve", True),
    ],
)
def test_upward_imports_are_recognized(importer: str, imported: str, upward: bool) -> None:
    assert is_upward(Import(importer, imported, False)) is upward


def test_a_module_outside_the_layers_is_an_error() -> None:
    with pytest.raises(KeyError):
        layer_name("otterrudder.unknown")


def test_a_cycle_is_found() -> None:
    pairs = [("a", "b"), ("b", "c"), ("c", "b"), ("a", "d")]
    assert find_cycle({Import(*pair, False) for pair in pairs}) == ["b", "c", "b"]
    assert find_cycle({Import(*pair, False) for pair in pairs if pair != ("c", "b")}) == []
