"""Formats of the look-up call, and whether the two lists of dependencies agree."""

import json
import tomllib
from pathlib import Path

from lacewingcross.platform.directory import (
    LookupQuestion,
    decode_question,
    encode_answer,
)

ROOT = Path(__file__).parent.parent


def test_a_look_up_contains_host_region_and_failure_domain():
    question = decode_question("/v1/resolve?name=A.example&region=norte&zone=mty-a")
    assert question == LookupQuestion("a.example", "norte", "mty-a")
    assert decode_question("/v1/resolve") == LookupQuestion("", "", "")
    assert decode_question("/v1/other?name=a") is None


def test_an_answer_contains_addresses_and_their_lifetime():
    body = encode_answer(["10.0.0.1:80"], 1.5)
    assert json.loads(body) == {"addresses": ["10.0.0.1:80"], "ttl_s": 1.5}


def test_deployed_dependencies_are_those_of_the_package():
    # The platform installs from requirements.txt, developers from pyproject.toml.
    package = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    deployed = (ROOT / "requirements.txt").read_text().split()
    assert sorted(deployed) == sorted(package["dependencies"])
