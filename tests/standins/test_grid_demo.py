"""Test that the demo of the platform path completes and reports no wrong answer."""

import subprocess
import sys
from pathlib import Path


def test_demo_finds_nothing_wrong():
    ended = subprocess.run(
        [sys.executable, "-m", "standins.grid_demo"],
        cwd=Path(__file__).parents[2],
        capture_output=True,
        text=True,
        timeout=240,
    )
    assert ended.returncode == 0, ended.stdout + ended.stderr
    assert "wrong answers: 0" in ended.stdout
