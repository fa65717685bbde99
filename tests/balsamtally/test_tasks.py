"""A task goes on after a step that failed."""

import gevent

from balsamtally import tasks


def test_step_that_fails_is_told_and_the_next_one_runs(monkeypatch):
    monkeypatch.setattr(tasks, "FAULT_PAUSE_S", 0.0)
    told, steps = [], []
    monkeypatch.setattr(tasks.log, "exception", lambda event, **fields: told.append(fields))

    def step():
        steps.append(1)
        if len(steps) == 1:
            raise RuntimeError("fault")
        gevent.sleep(0.01)

    task = tasks.spawn_repeating("test", step)
    gevent.sleep(0.1)
    task.kill()
    assert len(steps) > 2 and told == [{"step": "test"}]
