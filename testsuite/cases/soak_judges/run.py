"""Tests the checks of the soak with histories that break a rule and histories
that just do not."""

import harness
from soak.callers import Outcome
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


def body(_):
    check_lost()
    check_excuses()
    check_runs()


harness.run_case(body)
