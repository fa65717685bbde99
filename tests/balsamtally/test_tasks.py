"""Tests that a repeating task continues after a failed step."""

import gevent

from balsamtally import tasks


def test_failed_step_is_logged_and_the_next_step_runs(monkeypatch):
    monkeypatch.setattr(tasks, "FAILURE_DELAY_S", 0.0)
    logged, steps = [], []
    monkeypatch.setattr(tasks.log, "exception", lambda event, **fields: logged.append(fields))

    def step():
        steps.append(1)
        if len(steps) == 1:
            raise RuntimeError("fault")
        gevent.sleep(0.01)

    task = tasks.spawn_repeating("test", step)
    gevent.sleep(0.1)
    task.kill()
    assert len(steps) > 2 and logged == [{"step": "test"}]
