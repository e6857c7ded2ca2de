#include "decide/admission/slot_queue.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>

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
    WithdrawRequest(queue, Endpoint("10.0.0.2", 1), 1);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, queue.m_slot_requests.size());
    WithdrawRequest(queue, Endpoint("10.0.0.1", 1), 1);
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
          WithdrawRequest(queue, Endpoint("10.0.0.1", 1), ticket);
        }
        for (const SlotRequest& request : queue.m_slot_requests)
          RC_ASSERT(!granted.contains(request.m_ticket));
      }
    });
    CPPUNIT_ASSERT(held);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotQueueTest);

}  // namespace
}  // namespace verbenalead::decide
