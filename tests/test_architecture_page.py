"""docs/ARCHITECTURE.md names only what is there.

Each word in backticks that looks like a path, a module, a class or a function is looked up in the tree: a
renamed or removed one fails here, so that the pages stay true.
"""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "otterrudder"
PAGE = "docs/ARCHITECTURE.md"
PATH = re.compile(r"(?:otterrudder|docs|deploy|experiments|benchmarks|tests)(?:/[\w.{},-]+)*/?")
NAME = re.compile(r"(?:[A-Z]\w+|\w+)(?:\.\w+)*(?:\(\))?")


def defined_names() -> set[str]:
    """Returns the names of the package's modules, classes, functions and attributes, and `Class.method`."""
    names: set[str] = set()
    for path in PACKAGE.rglob("*.py"):
        names.add(path.stem)
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef):
                names |= {f"{node.name}.{name}" for name in members(node)}
            if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
                names.add(node.name)
            elif isinstance(node, ast.Name) and isinstance(node.ctx, ast.Store):
                names.add(node.id)
    return names


def members(node: ast.ClassDef) -> set[str]:
    """Returns the names of a class's methods, its class attributes and the attributes set on `self`."""
    found: set[str] = set()
    for inner in ast.walk(node):
        if isinstance(inner, ast.FunctionDef | ast.AsyncFunctionDef):
            found.add(inner.name)
        elif isinstance(inner, ast.Name) and isinstance(inner.ctx, ast.Store):
            found.add(inner.id)
        elif isinstance(inner, ast.Attribute) and isinstance(inner.ctx, ast.Store):
            found.add(inner.attr)
    return found


def code_words(page: str) -> list[str]:
    """Returns the texts in backticks on a page, except those in code blocks."""
    text = re.sub(r"^```.*?^```", "", (ROOT / page).read_text(), flags=re.S | re.M)
    return re.findall(r"`([^`\n]+)`", text)


def test_paths_on_the_page_exist() -> None:
    paths = [word for word in code_words(PAGE) if PATH.fullmatch(word) and "/" in word]
    assert paths
    assert not [path for path in paths if not (ROOT / path).exists()]


def test_code_named_on_the_page_is_defined() -> None:
    known = defined_names()
    words = [word.removesuffix("()") for word in code_words(PAGE) if NAME.fullmatch(word)]
    classes = [word for word in words if word[0].isupper() or "_" in word or "." in word]
    assert classes
    missing = [word for word in classes if word not in known and not is_module(word)]
    assert not missing


def is_module(word: str) -> bool:
    """Returns whether a dotted word is a module, or a name in a module that exists."""
    parts = word.removeprefix("otterrudder.").split(".")
    candidates = [PACKAGE.joinpath(*parts), PACKAGE.joinpath(*parts[:-1])] if parts[1:] else [PACKAGE / word]
    return any(path.with_suffix(".py").exists() or path.is_dir() for path in candidates)
