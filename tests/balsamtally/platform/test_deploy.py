"""Tests of the deploy directory: requirements, start-up imports and the role of entry VMs."""

import re
import subprocess
import sys
import tomllib
from importlib.metadata import packages_distributions
from pathlib import Path

ROOT = Path(__file__).parents[3]
# Imports the daemon while the modules named in the arguments can't be imported.
PROGRAM = """
import sys
blocked = set(sys.argv[1:])

class Blocker:
    def find_spec(self, name, path=None, target=None):
        if name.partition(".")[0] in blocked:
            raise ModuleNotFoundError(name)

sys.meta_path.insert(0, Blocker())
import balsamtally.platform.__main__
import balsamtally.platform.daemon
print("imported")
"""


def read_requirements(name):
    lines = (ROOT / name).read_text().split()
    return dict(line.lower().split("==") for line in lines)


def normalise(name):
    return re.sub(r"[-_.]+", "-", name).lower()


def test_daemon_imports_only_installed_requirements():
    required = {normalise(name) for name in read_requirements("deploy/requirements.txt")}
    blocked = [
        module
        for module, owners in packages_distributions().items()
        if module != "balsamtally" and not {normalise(owner) for owner in owners} & required
    ]
    assert "openai" in blocked
    completed = subprocess.run(
        [sys.executable, "-c", PROGRAM, *blocked],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert completed.stdout == "imported\n", completed.stderr


def test_daemon_listens_before_it_imports_large_modules():
    program = "import sys, balsamtally.platform.__main__; print(*sys.modules)"
    command = [sys.executable, "-c", program]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    loaded = set(completed.stdout.split())
    assert "balsamtally.sockets" in loaded
    assert not loaded & {"balsamtally.gateway", "aioprometheus", "asyncio", "h11", "structlog"}


def test_deployed_versions_are_the_tested_ones():
    tested = read_requirements("requirements.txt")
    for name, version in read_requirements("deploy/requirements.txt").items():
        assert tested[name] == version


def test_deploy_file_defines_one_role_on_the_entry_vms():
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    [role] = deploy["roles"].values()
    program, _, port = role["run"].rpartition(" ")
    assert program == "python3 -m balsamtally.platform --metrics-port"
    assert role["metrics"] == f"{port}/metrics"
    assert set(role["serves"]) == {"edge", "control_plane"}
