"""The committed examples equal what the product writes, and can be loaded."""

from pathlib import Path

import pytest

from lacewingcross.cli.examples import write_layout
from lacewingcross.deployments import DEPLOYMENTS, Ports, lay_out
from lacewingcross.operations import read_documents
from lacewingcross.settings import load_backend, load_host, load_platform, read_json

EXAMPLES = Path(__file__).parent.parent / "examples"


@pytest.mark.parametrize("name", sorted(DEPLOYMENTS))
def test_examples_are_up_to_date_and_load(name, tmp_path):
    write_layout(lay_out(DEPLOYMENTS[name], Ports()), tmp_path)
    written = {p.relative_to(tmp_path): p for p in tmp_path.rglob("*.json")}
    folder = EXAMPLES / name
    committed = {p.relative_to(folder): p for p in folder.rglob("*.json")}
    assert set(written) == set(committed)
    for relative, path in written.items():
        assert path.read_text() == committed[relative].read_text()
    load_platform(str(folder / "platform.json"))
    hosts = [load_host(str(path)) for path in (folder / "hosts").iterdir()]
    assert len(hosts) == DEPLOYMENTS[name].hosts
    assert len({cfg.failure_domain for cfg in hosts}) == 6
    for path in (folder / "backends").iterdir():
        load_backend(str(path))
    path = str(folder / "resources.json")
    assert len(read_documents(read_json(path), path)) == 9
