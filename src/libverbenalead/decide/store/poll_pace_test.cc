#include "decide/store/poll_pace.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <vector>

namespace verbenalead::decide {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr uint32_t kBurst = 5;
constexpr Duration kInterval = 400ms;
constexpr Duration kLongPoll = 1200ms;
constexpr Duration kAnswerTime = 4ms;
/// A change must be in force 2 s after its acknowledgement. Two hops within the
/// data centre and the replica's answer take the rest.
constexpr Duration kMaxDelay = 1s;

/// A time in which requests fail, each after `m_takes`.
struct Outage {
  TimePoint m_from{};
  TimePoint m_until{};
  Duration m_takes{};
};

/// A process that follows a table of the store, in simulated time.
class Follower {
 public:
  Follower(std::vector<Outage> outages, std::vector<TimePoint> changes)
      : m_outages(std::move(outages)), m_changes(std::move(changes)) {}

  /// Runs until `end`; returns the longest time that a change stayed unread,
  /// counted from the end of an outage if it was written within one.
  Duration Run(TimePoint end) {
    while (m_now < end) {
      const TimePoint requested_at = m_now;
      const Duration interval =
          IntervalAfterRequest(m_pacer, m_answering, requested_at);
      m_answering = Poll();
      m_now = std::max(m_now, NextRequestAt({requested_at, m_now, m_answering},
                                            interval, RetryPause()));
    }
    return m_longest;
  }

 private:
  const Outage* OutageAt(TimePoint time) const {
    for (const Outage& outage : m_outages) {
      if (outage.m_from <= time && time < outage.m_until)
        return &outage;
    }
    return nullptr;
  }

  bool Poll() {
    if (const Outage* outage = OutageAt(m_now)) {
      m_now += outage->m_takes;
      return false;
    }
    const TimePoint held_until = m_answering ? m_now + kLongPoll : m_now;
    const TimePoint change =
        m_next < m_changes.size() ? m_changes[m_next] : TimePoint::max();
    const TimePoint answered_at =
        std::max(m_now, std::min(change, held_until)) + kAnswerTime;
    // The store leaves while it holds the request open.
    if (const Outage* outage = OutageAt(answered_at)) {
      m_now = outage->m_from + outage->m_takes;
      return false;
    }
    m_now = answered_at;
    for (; m_next < m_changes.size() && m_changes[m_next] <= m_now; ++m_next)
      NoteRead(m_changes[m_next]);
    return true;
  }

  void NoteRead(TimePoint change) {
    const Outage* outage = OutageAt(change);
    const TimePoint since = outage ? outage->m_until : change;
    m_longest = std::max(m_longest, m_now - since);
  }

  Duration RetryPause() {
    return std::chrono::milliseconds(
        std::uniform_int_distribution<int>(150, 350)(m_random));
  }

  const std::vector<Outage> m_outages;
  const std::vector<TimePoint> m_changes;
  std::mt19937 m_random{5};
  BurstPacer m_pacer{kBurst, kInterval};
  TimePoint m_now = kStart;
  bool m_answering = false;
  size_t m_next = 0;
  Duration m_longest{};
};

class PollPaceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PollPaceTest);
  CPPUNIT_TEST(RequestsInVainLeaveTheBurst);
  CPPUNIT_TEST(ChangesAfterAnOutageAreReadAtOnce);
  CPPUNIT_TEST(ChangesAfterSeveralOutagesAreReadAtOnce);
  CPPUNIT_TEST(ProcessThatStartsInAnOutageReadsChangesAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against changes that wait for the debt of requests in vain.
  void RequestsInVainLeaveTheBurst() {
    BurstPacer pacer{kBurst, kInterval};
    TimePoint now = kStart;
    for (int request = 0; request < 60; ++request) {
      IntervalAfterRequest(pacer, false, now);
      now += 250ms;
    }
    for (uint32_t request = 0; request < kBurst; ++request) {
      CPPUNIT_ASSERT(IntervalAfterRequest(pacer, true, now) == Duration());
      now += 10ms;
    }
    CPPUNIT_ASSERT(IntervalAfterRequest(pacer, true, now) > Duration());
  }

  // Guards against routes that were dropped and still run, and new ones that
  // get 404, after the store has rejected this process at once, rejected it
  // late, or not answered it.
  void ChangesAfterAnOutageAreReadAtOnce() {
    for (const Duration takes : {0ms, 5ms, 300ms, 800ms}) {
      const TimePoint back = kStart + 20s;
      for (const Duration after : {0ms, 10ms, 300ms, 390ms, 1300ms, 3000ms}) {
        Follower follower({{kStart + 2s, back, takes}},
                          {back + after, back + after + 150ms,
                           back + after + 350ms, back + after + 400ms});
        CPPUNIT_ASSERT(follower.Run(back + 10s) <= kMaxDelay + takes);
      }
    }
  }

  // Guards against a debt that grows with each outage, where the store answers
  // a few requests between them.
  void ChangesAfterSeveralOutagesAreReadAtOnce() {
    std::vector<Outage> outages;
    std::vector<TimePoint> changes;
    for (int i = 0; i < 6; ++i) {
      const TimePoint from = kStart + 1s + i * 5s;
      outages.push_back({from, from + 4500ms, 0ms});
      changes.push_back(from + 4600ms);
      changes.push_back(from + 4800ms);
    }
    CPPUNIT_ASSERT(Follower(outages, changes).Run(kStart + 40s) <= kMaxDelay);
  }

  void ProcessThatStartsInAnOutageReadsChangesAtOnce() {
    Follower follower({{kStart, kStart + 15s, 0ms}},
                      {kStart + 15100ms, kStart + 15300ms, kStart + 15500ms});
    CPPUNIT_ASSERT(follower.Run(kStart + 20s) <= 400ms);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PollPaceTest);

}  // namespace
}  // namespace verbenalead::decide
