"""Detection of slow backend servers from their answers, and its decay."""

from balsamtally.paces import HALF_LIFE_S, MAX_FACTOR, Paces

KEY = ("a", 1)


def test_slow_server_is_detected_within_a_few_answers_and_its_slowdown_decays():
    now = [0.0]
    paces = Paces(lambda: now[0])
    assert paces.find(KEY) == 1.0
    for _ in range(5):
        paces.record(KEY, 1.0, 0.2)
    assert 3.0 < paces.find(KEY) <= 5.0
    before = paces.find(KEY)
    now[0] += HALF_LIFE_S
    assert abs(paces.find(KEY) - (1 + (before - 1) / 2)) < 1e-9
    for _ in range(30):
        paces.record(KEY, 0.2, 0.2)
    assert paces.find(KEY) < 1.1


def test_pace_is_bounded_and_small_differences_count_little():
    paces = Paces(lambda: 0.0)
    for _ in range(50):
        paces.record(KEY, 100.0, 0.1)
    assert paces.find(KEY) == MAX_FACTOR
    quick = Paces(lambda: 0.0)
    for _ in range(50):
        quick.record(KEY, 0.08, 0.01)
    assert quick.find(KEY) <= 1.0 + 1e-9


def test_answers_that_scatter_around_the_expected_time_do_not_count_as_slow():
    """Faster answers must offset slower ones.

    When only slower answers counted, all runners looked slow after many answers.
    """
    paces = Paces(lambda: 0.0)
    found = []
    for number in range(90):
        paces.record(KEY, 0.48 if number % 3 == 2 else 0.06, 0.2)
        found.append(paces.find(KEY))
    assert sum(found[-30:]) / 30 < 1.1


def test_answers_of_a_cold_server_do_not_count():
    """Guards against a server that is avoided as slow after it has become warm."""
    paces = Paces(lambda: 100.0, lambda key, within_s: key == ("cold", 1) and within_s > 1.0)
    for name in ("cold", "warm"):
        for _ in range(5):
            paces.record((name, 1), 4.0, 0.1)
    assert paces.find(("cold", 1)) == 1.0
    assert paces.find(("warm", 1)) > 2.0
