#include "decide/admission/slot_queue.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>

#include "decide/admission/early_refusal.h"

namespace verbenalead::decide {
namespace {

const TimePoint kStart = TimePoint() + 3600s;
constexpr uint32_t kSlots = 4;
constexpr double kPrefillRate = 1000;

SlotQueue MakeQueue() {
  SlotQueue queue;
  queue.m_slots = kSlots;
  queue.m_prefill_rate = kPrefillRate;
  return queue;
}

SlotRequest MakeRequest(uint64_t ticket,
                        Duration read_within,
                        bool can_be_on_time = true) {
  SlotRequest request;
  request.m_entry = Endpoint("10.0.0.1", 1);
  request.m_ticket = ticket;
  request.m_prompt_tokens = 10;
  request.m_can_be_on_time = can_be_on_time;
  request.m_read_deadline = kStart + read_within;
  request.m_until = kStart + 10s;
  return request;
}

const ReplicaLoad kFull = {kSlots, 0};
const ReplicaLoad kOneFree = {kSlots - 1, 0};

class SlotQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotQueueTest);
  CPPUNIT_TEST(FreeSlotIsGrantedAtOnce);
  CPPUNIT_TEST(MostUrgentRequestIsNext);
  CPPUNIT_TEST(LateCallWaitsForOnTimeCalls);
  CPPUNIT_TEST(NoCallIsPlacedBehindTooManyPrompts);
  CPPUNIT_TEST(LongPromptDoesNotDelayGrantedCalls);
  CPPUNIT_TEST(UnmeetableRequestIsDeniedAtOnce);
  CPPUNIT_TEST(WithdrawnRequestGetsNoSlot);
  CPPUNIT_TEST(GrantsNoMoreThanTheRateLimit);
  CPPUNIT_TEST(CallThatGetsNoTokenInTimeIsDeniedAtOnce);
  CPPUNIT_TEST(AnySequenceKeepsTheLimits);
  CPPUNIT_TEST(UrgentRankIsNext);
  CPPUNIT_TEST(LessUrgentCallLeavesReadingTime);
  CPPUNIT_TEST(SlotIsNotHeldForCallThatCannotStart);
  CPPUNIT_TEST(CallWhoseTurnComesTooLateIsDenied);
  CPPUNIT_TEST(DisplacedCallIsTold);
  CPPUNIT_TEST(NoRankIsInvertedAndNoSlotIdle);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FreeSlotIsGrantedAtOnce() {
    SlotQueue queue = MakeQueue();
    CPPUNIT_ASSERT(RequestSlot(queue, MakeRequest(1, 300ms), kOneFree,
                               kStart) == SlotVerdict::kGranted);
    CPPUNIT_ASSERT(queue.m_slot_requests.empty());
  }

  void MostUrgentRequestIsNext() {
    SlotQueue queue = MakeQueue();
    for (const auto& [ticket, within] :
         {std::pair{1, 300ms}, std::pair{2, 100ms}, std::pair{3, 200ms}}) {
      CPPUNIT_ASSERT(RequestSlot(queue, MakeRequest(ticket, within), kFull,
                                 kStart) == SlotVerdict::kQueued);
    }
    const auto granted = GrantSlots(queue, kOneFree, kStart);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, granted.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, granted[0].m_ticket);
    CPPUNIT_ASSERT(GrantSlots(queue, kFull, kStart).empty());
  }

  // Guards against giving a slot to a late retry at the entry where it comes
  // free, while a call that could be on time waits at another entry and is
  // refused. The on-time call gets the slot, whichever request arrives first.
  void LateCallWaitsForOnTimeCalls() {
    SlotQueue queue = MakeQueue();
    RequestSlot(queue, MakeRequest(1, 0ms, false), kFull, kStart);
    RequestSlot(queue, MakeRequest(2, 300ms), kFull, kStart);
    CPPUNIT_ASSERT(RequestSlot(queue, MakeRequest(3, 0ms, false), kOneFree,
                               kStart) == SlotVerdict::kQueued);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2},
                         GrantSlots(queue, kOneFree, kStart).at(0).m_ticket);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1},
                         GrantSlots(queue, kOneFree, kStart).at(0).m_ticket);
  }

  // Guards against placing a call that has 100 ms left behind 150 ms of
  // prompts: it would be late and take the slot of a call that would have been
  // on time.
  void NoCallIsPlacedBehindTooManyPrompts() {
    SlotQueue queue = MakeQueue();
    const ReplicaLoad reading = {1, 150};
    CPPUNIT_ASSERT(RequestSlot(queue, MakeRequest(1, 100ms), reading, kStart) ==
                   SlotVerdict::kQueued);
    CPPUNIT_ASSERT(RequestSlot(queue, MakeRequest(2, 300ms), reading, kStart) ==
                   SlotVerdict::kGranted);
    CPPUNIT_ASSERT(GrantSlots(queue, {1, 20}, kStart + 60ms).at(0).m_ticket ==
                   1);
  }

  // Guards against a first event after 0.43 s instead of 0.25 s: three calls
  // are placed, and before the next pass a prompt arrives that takes 0.2 s to
  // read and is read before any of the three writes. The long prompt must go
  // elsewhere, or wait until the three calls have begun.
  void LongPromptDoesNotDelayGrantedCalls() {
    SlotQueue queue = MakeQueue();
    CPPUNIT_ASSERT(RequestSlot(queue, MakeRequest(1, 100ms), {}, kStart) ==
                   SlotVerdict::kGranted);
    SlotRequest long_prompt = MakeRequest(2, 400ms);
    long_prompt.m_prompt_tokens = 200;
    CPPUNIT_ASSERT(RequestSlot(queue, long_prompt, {1, 10}, kStart + 1ms) ==
                   SlotVerdict::kQueued);
    const auto granted = GrantSlots(queue, {1, 0}, kStart + 11ms);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, granted.size());
  }

  void UnmeetableRequestIsDeniedAtOnce() {
    SlotQueue queue = MakeQueue();
    CPPUNIT_ASSERT(RequestSlot(queue, MakeRequest(1, 5ms), kFull, kStart) ==
                   SlotVerdict::kDenied);
    SlotRequest without_wait = MakeRequest(2, 300ms);
    without_wait.m_until = kStart;
    CPPUNIT_ASSERT(RequestSlot(queue, without_wait, kFull, kStart) ==
                   SlotVerdict::kDenied);
    RequestSlot(queue, MakeRequest(3, 100ms), kFull, kStart);
    CPPUNIT_ASSERT(GrantSlots(queue, kOneFree, kStart + 100ms).empty());
    CPPUNIT_ASSERT(queue.m_slot_requests.empty());
  }

  void WithdrawnRequestGetsNoSlot() {
    SlotQueue queue = MakeQueue();
    RequestSlot(queue, MakeRequest(1, 300ms), kFull, kStart);
    WithdrawRequest(queue, Endpoint("10.0.0.2", 1), 1, kStart);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, queue.m_slot_requests.size());
    WithdrawRequest(queue, Endpoint("10.0.0.1", 1), 1, kStart);
    CPPUNIT_ASSERT(GrantSlots(queue, {}, kStart).empty());
  }

  // Guards against grants to queued calls that the rate limit doesn't count.
  void GrantsNoMoreThanTheRateLimit() {
    SlotQueue queue = MakeQueue();
    SetRate(queue.m_rate, 1, kStart);
    for (uint64_t ticket = 1; ticket <= 3; ++ticket) {
      CPPUNIT_ASSERT(RequestSlot(queue, MakeRequest(ticket, 9s), {}, kStart) ==
                     SlotVerdict::kQueued);
    }
    CPPUNIT_ASSERT(GrantSlots(queue, {}, kStart + 900ms).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, GrantSlots(queue, {}, kStart + 1s).size());
    CPPUNIT_ASSERT(GrantSlots(queue, {}, kStart + 1s).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, GrantSlots(queue, {}, kStart + 3s).size());
  }

  // Guards against calls that wait in vain for a token of the rate limit.
  void CallThatGetsNoTokenInTimeIsDeniedAtOnce() {
    SlotQueue queue = MakeQueue();
    SetRate(queue.m_rate, 1, kStart);
    CPPUNIT_ASSERT(RequestSlot(queue, MakeRequest(1, 500ms), {}, kStart) ==
                   SlotVerdict::kDenied);
    CPPUNIT_ASSERT(RequestSlot(queue, MakeRequest(2, 1500ms), {}, kStart) ==
                   SlotVerdict::kQueued);
    CPPUNIT_ASSERT(RequestSlot(queue, MakeRequest(3, 1500ms), {}, kStart) ==
                   SlotVerdict::kDenied);
  }

  // Calls request slots, wait, withdraw and end in any order, and some messages
  // arrive twice. No more calls are granted than there are slots, and each
  // request is granted at most once.
  void AnySequenceKeepsTheLimits() {
    const bool held = rc::check("limits", [] {
      SlotQueue queue = MakeQueue();
      ReplicaLoad load;
      TimePoint now = kStart;
      uint64_t ticket = 0;
      std::set<uint64_t> granted;
      const auto steps =
          *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
      const auto record_grant = [&](const SlotRequest& request) {
        RC_ASSERT(granted.insert(request.m_ticket).second);
        ++load.m_calls;
        RC_ASSERT(load.m_calls <= kSlots);
      };
      for (int step : steps) {
        now += 10ms;
        if (step <= 2) {
          SlotRequest request =
              MakeRequest(++ticket, now - kStart + 100ms, step != 0);
          if (RequestSlot(queue, request, load, now) == SlotVerdict::kGranted)
            record_grant(request);
          else if (step == 1)
            RequestSlot(queue, request, kFull, now);
        } else if (step == 3 && load.m_calls > 0) {
          --load.m_calls;
          for (const SlotRequest& request : GrantSlots(queue, load, now))
            record_grant(request);
        } else if (step == 4 && ticket > 0) {
          WithdrawRequest(queue, Endpoint("10.0.0.1", 1), ticket, now);
        }
        for (const SlotRequest& request : queue.m_slot_requests)
          RC_ASSERT(!granted.contains(request.m_ticket));
      }
    });
    CPPUNIT_ASSERT(held);
  }

  // Guards against a slot that goes to a less urgent rank, because its call has
  // less time left.
  void UrgentRankIsNext() {
    SlotQueue queue = MakeQueue();
    RequestSlot(queue, MakeRanked(1, 2, 150ms), kFull, kStart);
    RequestSlot(queue, MakeRanked(2, 0, 300ms), kFull, kStart);
    RequestSlot(queue, MakeRanked(3, 0, 300ms, false), kFull, kStart);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2},
                         GrantSlots(queue, kOneFree, kStart).at(0).m_ticket);
    const TimePoint free_at = kStart + 1ms;
    GrantSlots(queue, kFull, free_at);
    CPPUNIT_ASSERT(GrantSlots(queue, kOneFree, free_at).empty());
    CPPUNIT_ASSERT_EQUAL(
        uint64_t{1},
        GrantSlots(queue, kOneFree, free_at + kPrecedenceHold).at(0).m_ticket);
  }

  // Guards against a long prompt of a less urgent rank that is read before the
  // prompt of a waiting urgent call, which is late then.
  void LessUrgentCallLeavesReadingTime() {
    SlotQueue queue = MakeQueue();
    SlotRequest first = MakeRanked(1, 0, 150ms);
    first.m_prompt_tokens = 150;
    CPPUNIT_ASSERT(RequestSlot(queue, first, {}, kStart) ==
                   SlotVerdict::kGranted);
    CPPUNIT_ASSERT(RequestSlot(queue, MakeRanked(2, 0, 250ms), {1, 150},
                               kStart + 1ms) == SlotVerdict::kQueued);
    SlotRequest long_prompt = MakeRanked(3, 2, 2s);
    long_prompt.m_prompt_tokens = 120;
    CPPUNIT_ASSERT(RequestSlot(queue, long_prompt, {1, 150}, kStart + 1ms) ==
                   SlotVerdict::kQueued);
    const auto granted = GrantSlots(queue, {1, 0}, kStart + 150ms);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, granted.at(0).m_ticket);
  }

  // Guards against an empty slot beside a waiting call: the urgent call can't
  // be on time here any more, and its time isn't over.
  void SlotIsNotHeldForCallThatCannotStart() {
    SlotQueue queue = MakeQueue();
    RequestSlot(queue, MakeRanked(1, 0, 100ms), kFull, kStart);
    RequestSlot(queue, MakeRanked(2, 2, 1s), kFull, kStart);
    queue.m_granted_calls = {{kStart + 1s, kStart + 150ms}};
    const auto granted = GrantSlots(queue, {1, 150}, kStart);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, granted.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, granted[0].m_ticket);
  }

  // Guards against a call that waits for its whole time behind others, and is
  // refused then.
  void CallWhoseTurnComesTooLateIsDenied() {
    SlotQueue queue = QueueWithTurnover();
    for (uint64_t ticket = 1; ticket <= 8; ++ticket) {
      CPPUNIT_ASSERT(RequestSlot(queue, MakeRanked(ticket, 0, 900ms), kFull,
                                 kStart) == SlotVerdict::kQueued);
    }
    CPPUNIT_ASSERT(RequestSlot(queue, MakeRanked(9, 1, 250ms), kFull, kStart) ==
                   SlotVerdict::kDenied);
    CPPUNIT_ASSERT(RequestSlot(queue, MakeRanked(10, 1, 2s), kFull, kStart) ==
                   SlotVerdict::kQueued);
    CPPUNIT_ASSERT(RequestSlot(queue, MakeRequest(11, 950ms), kFull, kStart) ==
                   SlotVerdict::kQueued);
  }

  // Guards against a call that isn't told that more urgent ones have taken its
  // turn.
  void DisplacedCallIsTold() {
    SlotQueue queue = QueueWithTurnover();
    RequestSlot(queue, MakeRanked(1, 1, 400ms), kFull, kStart);
    for (uint64_t ticket = 2; ticket <= 3; ++ticket)
      RequestSlot(queue, MakeRanked(ticket, 0, 900ms), kFull, kStart);
    CPPUNIT_ASSERT(TakeDisplaced(queue, kStart).empty());
    for (uint64_t ticket = 4; ticket <= 10; ++ticket)
      RequestSlot(queue, MakeRanked(ticket, 0, 900ms), kFull, kStart);
    const auto displaced = TakeDisplaced(queue, kStart);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, displaced.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, displaced[0].m_ticket);
  }

  // Calls of several ranks and organisations with short prompts wait, and slots
  // come free. A grant never goes to a call while one of a rank that goes
  // before it waits, and no slot is left empty for longer than kPrecedenceHold
  // while a call waits.
  void NoRankIsInvertedAndNoSlotIdle() {
    const bool held = rc::check("ranks", [] {
      SlotQueue queue = MakeQueue();
      ReplicaLoad load = kFull;
      TimePoint now = kStart;
      uint64_t ticket = 0;
      const auto steps =
          *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
      TimePoint free_since = now;
      for (int step : steps) {
        now += 10ms;
        if (step < 9) {
          SlotRequest request =
              MakeRanked(++ticket, step / 3, now - kStart + 5s);
          request.m_prompt_tokens = 1;
          request.m_organisation = std::to_string(step % 3);
          if (RequestSlot(queue, request, load, now) == SlotVerdict::kGranted)
            ++load.m_calls;
        } else if (load.m_calls > 0) {
          free_since = now;
          --load.m_calls;
          const SlotQueue before = queue;
          for (const SlotRequest& granted : GrantSlots(queue, load, now)) {
            ++load.m_calls;
            for (const SlotRequest& waiting : queue.m_slot_requests)
              RC_ASSERT(OrderedRank(before.m_rank_floor, granted.m_rank) <=
                        OrderedRank(before.m_rank_floor, waiting.m_rank));
          }
        }
        if (now >= free_since + kPrecedenceHold)
          load.m_calls +=
              static_cast<uint32_t>(GrantSlots(queue, load, now).size());
        RC_ASSERT(load.m_calls == kSlots || queue.m_slot_requests.empty() ||
                  now < free_since + kPrecedenceHold);
      }
    });
    CPPUNIT_ASSERT(held);
  }

 private:
  static SlotRequest MakeRanked(uint64_t ticket,
                                int rank,
                                Duration read_within,
                                bool can_be_on_time = true) {
    SlotRequest request = MakeRequest(ticket, read_within, can_be_on_time);
    request.m_rank = rank;
    request.m_deny_early = true;
    return request;
  }

  /// A queue of a replica whose four slots each come free every 0.8 s or a
  /// little sooner.
  static SlotQueue QueueWithTurnover() {
    SlotQueue queue = MakeQueue();
    for (int i = 0; i < 30; ++i) {
      const TimePoint at = kStart - 6s + i * 200ms;
      NoteCalls(queue.m_turnover, kSlots, at);
      NoteCalls(queue.m_turnover, kSlots - 1, at);
      NoteCalls(queue.m_turnover, kSlots, at);
    }
    return queue;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotQueueTest);

}  // namespace
}  // namespace verbenalead::decide
