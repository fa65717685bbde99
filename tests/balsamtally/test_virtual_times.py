"""Virtual times of start-time fair queueing."""

from balsamtally.virtual_times import VirtualTimes


def test_idle_customer_gains_no_credit_and_keeps_no_debt_that_others_have_caught_up_with():
    times = VirtualTimes()
    times.charge("a", 10.0)
    times.advance(times.charge("b", 30.0))
    assert times.copy_starts("abc") == {"a": 30.0, "b": 30.0, "c": 30.0}


def test_virtual_time_never_goes_back():
    times = VirtualTimes()
    times.advance(5.0)
    times.advance(3.0)
    assert times.now == 5.0


def test_lead_shrinks_and_is_dropped_so_that_the_state_stays_small():
    times = VirtualTimes()
    times.charge("a", 100.0)
    times.charge("b", 1.0)
    times.shrink_leads(0.5, 1.0)
    assert (times.find_start("a"), list(times._finishes)) == (50.0, ["a", "b"])
    times.shrink_leads(0.5, 1.0)
    assert list(times._finishes) == ["a"]
    times.forget("a")
    assert times.find_start("a") == times.now
