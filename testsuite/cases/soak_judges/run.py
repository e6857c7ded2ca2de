"""Tests the checks of the soak with histories that break a rule and histories
that just do not."""

import harness
from soak.callers import Outcome
from soak.judge_evacuations import Arrival, Evacuation, find_late, \
    find_outside
from soak.judge_limits import Limit, find_exceeded
from soak import judge_retries, promises
from soak.judge_lost import Disturbance, ends_of_runs, find_lost
from soak.judge_statements import find_ignored, heard_statements

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


def arrived(call, at_ms, leaving=False, rest='""', started=1):
    return ("time=x event=arrived call=%s started_ms=%d at_ms=%d "
            "said_leaving=%s retry_after=%s" % (
                call, started, at_ms, "true" if leaving else "false", rest))


ATTEMPT = "time=x event=attempt call=%s replica=i-1 end=not_run number=1 " \
    "weights=0 rate_limit=-1.000 leaving=%s rest_ms=%d replicas_age_ms=1"


def ignored(lines, harmed=None, unheard=()):
    entry_of = {"c%d" % number: "entry-1" for number in range(9)}
    entry_of["other"] = "entry-2"
    heard = set(entry_of) - set(unheard)
    return find_ignored("replica-1", lines, entry_of, harmed or {}, heard)


def check_statements():
    told = arrived("c1", 1000, True)
    assert ignored([told, arrived("c2", 3001, True)])
    # In time, by an entry that wasn't told, or at a new process.
    assert not ignored([told, arrived("c2", 3000, True)])
    assert not ignored([told, arrived("other", 9000, True)])
    assert not ignored([told, arrived("c2", 9000, True, started=2)])
    # The entry, or the link to the replica, was disturbed.
    late = [told, arrived("c2", 3001, True)]
    assert not ignored(late, {"entry-1": [(1500, 2000)]})
    assert not ignored(late, {None: [(2900, 3100)]})
    assert ignored(late, {"entry-2": [(1500, 2000)]})
    assert ignored(late, {"entry-1": [(100, 900)]})
    rest = [arrived("c%d" % number, 1000 + 600 * number, rest=text)
            for number, text in enumerate(("3", '""', '""', '""'))]
    assert ignored(rest)
    assert not ignored(rest[:3])
    # The answer reached nobody.
    assert not ignored(late, unheard=["c1"])
    assert not ignored(rest, unheard=["c0"])
    assert heard_statements([
        ATTEMPT % ("c1", "true", 0), ATTEMPT % ("c2", "false", 0),
        ATTEMPT % ("c3", "false", 400)]) == {("c1", "i-1"), ("c3", "i-1")}
    # Calls that were on their way, and calls after the rest.
    assert not ignored([arrived("c1", 1000, rest="3")] + [
        arrived("c%d" % number, 1500 - number) for number in range(2, 9)])
    assert not ignored([arrived("c1", 1000, rest="0.4")] + rest[1:])
    assert not ignored([arrived("c1", 1000, rest="x")] + rest[1:])


def check_stops():
    def cut(sent, took, stopped):
        outcome = stream(sent=sent, took=took)
        return bool(find_lost([outcome], {"c1": ["caller_left"]}, (), DEADLINE,
                              {"entry-1": [stopped], "entry-2": [sent]}))

    # Sent in time after the signal, and cut at the end of the grace period.
    assert not cut(102.6, 5.0, 100.0)
    # Cut before its last sixth, sent too late, or by another entry's stop.
    assert cut(102.6, 4.0, 100.0)
    assert cut(103.1, 4.5, 100.0)
    assert cut(102.6, 5.0, 90.0)


def check_runs():
    ends = ends_of_runs([
        "time=x event=ran call=c1 organisation=acme weights=1",
        "time=x event=ran call=c2 organisation=acme weights=1",
        "time=x event=run_ended call=c1 how=caller_left",
        "time=x event=ran call=c1 organisation=acme weights=1",
        "time=x event=run_ended call=c1 how=whole"])
    assert ends["c1"] == ["caller_left", "whole"], ends
    assert ends["c2"] == [None], ends


def check_promises():
    def problems(status, ends, body=b"", **headers):
        found = []
        outcome = stream(kind="pay", status=status, whole=True, body=body,
                         headers={name.replace("_", "-"): value
                                  for name, value in headers.items()})
        promises.check_answer(outcome, ends, found)
        promises.check_runs(outcome, len(ends), [], found)
        return found

    stamp = {"x_verbenalead_server_stamp": "s"}
    own = {"body": b"failed: /pay/x", **stamp}
    for status in (408, 421, 429, 503):
        # The call ran, and its caller was told that it had not.
        ends = ["failed_%d" % status]
        assert problems(status, ends, **own)
        assert problems(status, ends, retry_after="1")
        assert not problems(502, ends)
    assert not problems(503, [], retry_after="1")
    assert problems(429, [])
    for status in (404, 500, 504):
        assert not problems(status, ["failed_%d" % status], **own)
        # A stamp beside another status, or another body.
        assert problems(502, ["failed_%d" % status], **own)
        assert problems(status, ["failed_%d" % status], b"other", **stamp)
        assert problems(status, ["whole"], **own)
    assert not problems(200, ["whole"], b"ran: /pay/x", **stamp)
    assert problems(200, ["failed_500"], **own)


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


def check_retries():
    # 20 calls a second for 30 s: 40 retries and the slack of 100 are allowed in
    # each window.
    sent = [50 * number for number in range(600)]
    firsts = [arrived("c%d" % number, at) for number, at in enumerate(sent)]

    def exceeded(count, at_ms, calls=sent):
        again = [arrived("c%d" % number, at_ms + number % 7)
                 for number in range(count)]
        return bool(judge_retries.find_exceeded("pool", [firsts, again],
                                                calls))

    assert not exceeded(140, 29000)
    assert exceeded(141, 29000)
    # Calls of the window before, or of half a window before, count as well.
    assert not exceeded(140, 29990)
    assert exceeded(141, 45000, sent[:300])
    assert not exceeded(100, 45000, sent[:300])
    # The first arrival of a call is no retry.
    assert not exceeded(0, 29000)


def check_evacuations():
    evacuations = [Evacuation("a", 10000, 18000)]

    def late(at_ms, data_center="a", harmed=(), outages=()):
        return bool(find_late(evacuations,
                              [Arrival("replica-1", data_center, "c1", at_ms)],
                              {"c1": "entry-1"}, dict(harmed), outages))

    # From 5 s after the acknowledgement until the removal was sent.
    assert not late(15000)
    assert late(15001)
    assert not late(18000)
    assert not late(16000, "b")
    # The entry or the replica was frozen; an outage of the store.
    assert not late(16000, harmed={"entry-1": [(12000, 16000)]})
    assert not late(16000, harmed={"replica-1": [(12000, 16000)]})
    assert late(16000, harmed={"entry-2": [(12000, 16000)]})
    assert not late(16000, outages=[(9000, 11000)])
    assert late(16000, outages=[(8000, 9000)])


def check_regions():
    def outside(kind, data_center):
        return bool(find_outside({"east": ("a",)},
                                 [Arrival("replica-1", data_center, "c1", 1)],
                                 {"c1": kind}))

    assert outside("east", "b")
    assert not outside("east", "a")
    assert not outside("pay", "b")


def body(_):
    check_evacuations()
    check_regions()
    check_limits()
    check_lost()
    check_excuses()
    check_stops()
    check_runs()
    check_statements()
    check_retries()
    check_promises()


harness.run_case(body)
