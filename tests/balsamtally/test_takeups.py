"""The software version at which streams go on."""

import pytest

from balsamtally.calls import Repeat
from balsamtally.errors import SoftwareUnknown
from balsamtally.origins import Origin
from balsamtally.plans import CallProgress, make_plan
from balsamtally.software_history import SoleVersion
from balsamtally.takeups import Observations, TakeUps
from tests.balsamtally.scripted import make_backend, make_call, make_contracts, make_route

OLD = make_backend("old", software="v1")
NEW = make_backend("new", software="v2")


class World:
    """Take-ups of one VM, with what its peers and its own history tell."""

    def __init__(self, *backends, origin=None, told=None, sole=None):
        self.asked, self.announced = [], []
        self.backends = {backend.name: backend for backend in backends}

        def find_origin(*key):
            self.asked.append(key)
            return origin, None if told is None else SoleVersion(told, 0.0)

        self.take_ups = TakeUps(
            find_origin,
            Observations(
                lambda service, window_s, age_s: sole,
                lambda service, software, since_s: True,
                lambda since_s, limit_s: True,
                lambda: 0.0,
            ),
            self.announced.append,
            lambda: self.backends,
            lambda: 1_000.0,
        )

    def find(self, progress=None, repeat=Repeat.RESUME, **call):
        return self.take_ups.find_software(plan_call(repeat, **call), progress or CallProgress())


def plan_call(repeat=Repeat.RESUME, streams=True, **call):
    route = make_route(repeat, streams, timeout_s=15.0)
    return make_plan(make_call(**call), make_contracts(route))


def make_origin(backend, request="first"):
    return Origin(request, "cabo", backend.software, backend.name, backend.born, 900_000)


def test_new_streams_and_whole_answers_may_go_to_any_version():
    world = World(OLD, NEW)
    assert world.find() is None and world.find(resumes="first") is None
    assert not world.asked


def test_taken_up_stream_goes_on_at_the_version_that_its_origin_names():
    world = World(OLD, NEW, origin=make_origin(OLD))
    assert world.find(last_event=3, resumes="first") == "v1"
    assert world.asked == [("first", "cabo", "desk", 15.0)]


@pytest.mark.parametrize(
    "backends, told, sole",
    [
        ((OLD, NEW), None, None),
        ((OLD, NEW), "v1", None),
        ((OLD,), "v2", None),
        ((OLD,), None, None),
        ((), None, None),
    ],
)
def test_stream_of_unknown_origin_is_refused_unless_one_version_alone_served(backends, told, sole):
    """It was sent to any version, and the caller got a text that was joined from two."""
    with pytest.raises(SoftwareUnknown) as caught:
        World(*backends, told=told, sole=sole).find(last_event=3, resumes="first")
    assert caught.value.retry_after_s


@pytest.mark.parametrize("told, sole", [("v1", None), (None, "v1")])
def test_stream_of_unknown_origin_goes_on_at_the_only_version(told, sole):
    assert World(OLD, told=told, sole=sole).find(last_event=3, resumes="first") == "v1"


def test_take_up_that_names_no_attempt_needs_the_only_version():
    assert World(OLD, sole="v1").find(last_event=3) == "v1"
    world = World(OLD, NEW, origin=make_origin(OLD))
    with pytest.raises(SoftwareUnknown):
        world.find(last_event=3)
    assert not world.asked


def test_stream_keeps_its_version_within_the_answer_and_over_further_tries():
    world = World(OLD, NEW)
    plan, progress = plan_call(id="a1"), CallProgress(backend=OLD)
    world.take_ups.record_first_event(plan, progress)
    assert world.find(progress) == "v1"
    [origin] = world.announced
    assert origin == Origin("a1", "cabo", "v1", "old", OLD.born, 1_000_000)
    # A further try keeps the record of the attempt that brought the first event alive.
    world = World(OLD, NEW, origin=make_origin(OLD))
    plan, progress = plan_call(id="a3", last_event=3, resumes="first"), CallProgress(backend=OLD)
    world.take_ups.find_software(plan, progress)
    world.take_ups.record_first_event(plan, progress)
    assert world.announced == [make_origin(OLD)]


def test_stream_of_the_only_version_is_recorded_under_the_attempt_that_began_it():
    world = World(OLD, sole="v1")
    plan, progress = plan_call(id="a3", last_event=3, resumes="first"), CallProgress(backend=OLD)
    assert world.take_ups.find_software(plan, progress) == "v1"
    world.take_ups.record_first_event(plan, progress)
    assert [origin.request for origin in world.announced] == ["first"]


def test_stream_that_may_not_be_resumed_is_not_announced():
    world = World(OLD)
    world.take_ups.record_first_event(plan_call(Repeat.NEVER), CallProgress(backend=OLD))
    assert not world.announced
