#include "decide/store/config_lease.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <vector>

#include "decide/store/store_clock.h"

namespace verbenalead::decide {
namespace {

constexpr Duration kBound = 5s;
constexpr Duration kLength = 4500ms;

class ConfigLeaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigLeaseTest);
  CPPUNIT_TEST(IsValidForItsLengthOnly);
  CPPUNIT_TEST(OlderProofDoesNotExtendLease);
  CPPUNIT_TEST(StoreClockDatesDelayedAnswer);
  CPPUNIT_TEST(RemovedKeyIsRefusedAfterBound);
  CPPUNIT_TEST_SUITE_END();

 public:
  void IsValidForItsLengthOnly() {
    ConfigLease lease;
    CPPUNIT_ASSERT(!IsLeaseValid(lease, kLength, 0s));
    RenewLease(lease, 10s);
    CPPUNIT_ASSERT(IsLeaseValid(lease, kLength, 14499ms));
    CPPUNIT_ASSERT(!IsLeaseValid(lease, kLength, 14500ms));
  }

  void OlderProofDoesNotExtendLease() {
    ConfigLease lease;
    RenewLease(lease, 10s);
    RenewLease(lease, 8s);
    CPPUNIT_ASSERT(!IsLeaseValid(lease, kLength, 14500ms));
  }

  void StoreClockDatesDelayedAnswer() {
    StoreClock clock;
    // A quick exchange: sent at 100 s, the store's clock shows 7 s.
    CPPUNIT_ASSERT(AnsweredAt(clock, 100s, {1, 7s}) == Duration(100s));
    // Sent at 101 s, held by the store for a second, answered when its clock
    // shows 9 s.
    CPPUNIT_ASSERT(AnsweredAt(clock, 101s, {1, 9s}) == Duration(102s));
  }

  // A key is removed while the entry is cut off, responses of the store are
  // delayed, and the process is paused for any time, also between the check and
  // the forwarding of a call. A request that the caller sends after the removal
  // and its bound must not be admitted.
  void RemovedKeyIsRefusedAfterBound() {
    const bool held = rc::check("removed key", [] {
      const Duration removed =
          std::chrono::milliseconds(*rc::gen::inRange(0, 20000));
      const Duration offset =
          std::chrono::milliseconds(*rc::gen::inRange(-5000, 5000));
      ConfigLease lease;
      StoreClock clock;
      bool removal_known = false;
      Duration now{};
      const auto steps =
          *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4000));
      for (int step : steps) {
        const Duration requested_at = now;
        const Duration latency = std::chrono::milliseconds(step % 97);
        const Duration answered_at = requested_at + latency;
        now = answered_at + std::chrono::milliseconds(step);  // Or a pause.
        if (step % 3 == 0) {
          removal_known |= answered_at >= removed;
          RenewLease(lease, AnsweredAt(clock, requested_at,
                                       {1, answered_at - offset}));
        }
        const Duration sent = now - latency;
        const bool admitted =
            !removal_known && IsLeaseValid(lease, kLength, now);
        if (admitted)
          RC_ASSERT(sent <= removed + kBound);
      }
    });
    CPPUNIT_ASSERT(held);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigLeaseTest);

}  // namespace
}  // namespace verbenalead::decide
