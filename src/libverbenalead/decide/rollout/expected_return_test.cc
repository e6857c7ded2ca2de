#include "decide/rollout/expected_return.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::decide {
namespace {

const TimePoint kNow = TimePoint() + 3600s;
constexpr Duration kLoad = 300ms;

class ExpectedReturnTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExpectedReturnTest);
  CPPUNIT_TEST(CallsReturnWhenAQuarterIsBack);
  CPPUNIT_TEST(OnlyLoadingReplicasAreExpected);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against callers that are sent back to the first replica that
  // returns, which can't serve them all, or that stay away until the last one.
  void CallsReturnWhenAQuarterIsBack() {
    for (int i = 0; i < 8; ++i)
      Add(std::to_string(i), 100ms * i);
    CPPUNIT_ASSERT(WaitForLoads(m_pool, kLoad, kNow) == Duration(100ms));
    const auto returns = ExpectedReturns(m_pool, kLoad, kNow);
    CPPUNIT_ASSERT_EQUAL(size_t{8}, returns.back().m_replicas);
    CPPUNIT_ASSERT(returns.back().m_at == kNow + 700ms);
  }

  // Guards against a Retry-After that names the return of replicas that don't
  // come back: leaving ones, and ones without a recent report.
  void OnlyLoadingReplicasAreExpected() {
    Add("1", 0ms).m_known.m_leaving = true;
    Add("2", 2s).m_loading_until = kNow;
    CPPUNIT_ASSERT(!WaitForLoads(m_pool, kLoad, kNow));
    Add("3", 5s);
    const auto wait = WaitForLoads(m_pool, kLoad, kNow);
    CPPUNIT_ASSERT(wait && *wait > Duration());
  }

 private:
  /// Adds a replica that has been out of service for `since`.
  ReplicaState& Add(const std::string& id, Duration since) {
    ReplicaState& state = m_pool.m_replicas[id];
    state.m_loading_since = kNow - since;
    state.m_loading_until = kNow + 1s;
    return state;
  }

  ReplicaPool m_pool;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExpectedReturnTest);

}  // namespace
}  // namespace verbenalead::decide
