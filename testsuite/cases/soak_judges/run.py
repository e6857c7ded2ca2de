"""Tests the checks of the soak with histories that break a rule and histories
that just do not."""

import harness
from soak.callers import Outcome
from soak.judge_limits import Limit, find_exceeded
from soak.judge_lost import Disturbance, ends_of_runs, find_lost

DEADLINE = 6.0


def stream(**fields):
    outcome = Outcome("c1", "draft", "entry-1", False, 100.0, status=200,
                      took=2.0)
    for name, value in fields.items():
        setattr(outcome, name, value)
    return outcome


def lost(outcome, ends, disturbances=()):
    return bool(find_lost([outcome], {"c1": ends}, disturbances, DEADLINE))


def check_lost():
    # The entry disconnected from a replica that was running the call or had
    # sent the complete response.
    assert lost(stream(), ["caller_left"])
    assert lost(stream(), ["whole"])
    assert lost(stream(status=None), ["caller_left"])
    assert lost(stream(), ["caller_left", "caller_left"])
    # The response was complete, or no replica ran the call.
    assert not lost(stream(whole=True), ["whole"])
    assert not lost(stream(whole=True, status=503), ["caller_left"])
    assert not lost(stream(status=None), [])
    # The replica broke off the response, or died.
    assert not lost(stream(), ["broken_off"])
    assert not lost(stream(), [None])
    # The caller's deadline had passed, or had not.
    assert not lost(stream(took=5.9), ["caller_left"])
    assert lost(stream(took=5.0), ["caller_left"])


def check_excuses():
    left = ["caller_left"]
    assert not lost(stream(), left, [Disturbance(101, 101.1, "kill")])
    assert not lost(stream(), left, [Disturbance(90, 97.5, "freeze")])
    assert lost(stream(), left, [Disturbance(90, 96.5, "freeze")])
    assert lost(stream(), left, [Disturbance(102.1, 103, "kill")])


def check_runs():
    ends = ends_of_runs([
        "time=x event=ran call=c1 organisation=acme weights=1",
        "time=x event=ran call=c2 organisation=acme weights=1",
        "time=x event=run_ended call=c1 how=caller_left",
        "time=x event=ran call=c1 organisation=acme weights=1",
        "time=x event=run_ended call=c1 how=whole"])
    assert ends["c1"] == ["caller_left", "whole"], ends
    assert ends["c2"] == [None], ends


def exceeded(text, arrivals, end=20000):
    return find_exceeded([Limit("r", text, 1000, end)], {"r": arrivals})


def check_limits():
    # A limit of 1 allows 11 calls in 4 s from 3 s after its start.
    burst = [5000 + 10 * number for number in range(12)]
    assert exceeded("1", burst)
    assert not exceeded("1", burst[1:])
    assert not exceeded("1.2", burst)
    assert not exceeded("x", burst)
    assert exceeded("-1", burst[:6])
    assert not exceeded("-1", burst[:5])
    # Before it has to be kept, and after its end.
    assert not exceeded("1", [3000 + at - 5000 for at in burst])
    assert not exceeded("1", burst, end=5000)
    # Calls in different windows.
    assert not exceeded("1", burst[:6] + [at + 4000 for at in burst[6:]])
    assert exceeded("1", burst[:6] + [at + 3800 for at in burst[6:]])


def body(_):
    check_limits()
    check_lost()
    check_excuses()
    check_runs()


harness.run_case(body)
