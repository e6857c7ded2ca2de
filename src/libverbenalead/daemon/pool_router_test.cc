#include "daemon/pool_router.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/io_threads.h"
#include "base/sleep.h"
#include "model/call_builder.h"

namespace verbenalead::daemon {
namespace {

constexpr int kCalls = 400;

/// Results of the callers on all threads.
struct Counts {
  std::atomic<int> m_started{0};
  std::atomic<int> m_refused{0};
  std::atomic<int> m_concurrent{0};
  std::atomic<int> m_max_concurrent{0};
};

Awaitable<void> CallOnce(PoolRouter& router,
                         IoThreads& threads,
                         Counts& counts,
                         int number) {
  model::CallBuilder builder;
  builder.Id(std::to_string(number)).Organisation("o").Pool("p");
  const model::Call call = builder.Deadline(Now() + 30s).Build();
  const decide::AdmissionAction admitted = co_await router.Admit(call);
  if (admitted.m_kind == decide::AdmissionAction::Kind::kStart) {
    const int concurrent = ++counts.m_concurrent;
    int max_concurrent = counts.m_max_concurrent;
    while (concurrent > max_concurrent &&
           !counts.m_max_concurrent.compare_exchange_weak(max_concurrent,
                                                          concurrent)) {
    }
    const auto placement = router.ChooseTarget(call, {}, {});
    co_await Sleep(1ms);
    if (placement)
      router.AttemptEnded(placement->m_target, call,
                          decide::TargetFeedback::kGood, 1ms, 0);
    --counts.m_concurrent;
    router.Finish(call, 1ms);
    ++counts.m_started;
  } else {
    ++counts.m_refused;
  }
  if (counts.m_started + counts.m_refused == kCalls)
    threads.Stop();
}

class PoolRouterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PoolRouterTest);
  CPPUNIT_TEST(ConcurrentCallersGetOneDecisionEach);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Calls, reports and ticks arrive from four threads concurrently. Each call
  // has to get exactly one decision, started or refused, and the number of
  // running calls must not exceed the targets' capacity.
  void ConcurrentCallersGetOneDecisionEach() {
    IoThreads threads(4);
    PoolRouter router(1);
    model::TargetReport report;
    report.m_name = "t";
    report.m_incarnation = 1;
    report.m_capacity = 8;
    report.m_open = true;
    router.ApplyReport(report);
    Counts counts;
    for (int i = 0; i < kCalls; ++i) {
      boost::asio::co_spawn(threads.Next(),
                            CallOnce(router, threads, counts, i),
                            boost::asio::detached);
    }
    boost::asio::co_spawn(threads.Next(), ReportAndTick(router, report),
                          boost::asio::detached);
    threads.Run();
    CPPUNIT_ASSERT_EQUAL(kCalls, counts.m_started + counts.m_refused);
    CPPUNIT_ASSERT(counts.m_started > 0);
    CPPUNIT_ASSERT(counts.m_max_concurrent <= 8);
  }

 private:
  static Awaitable<void> ReportAndTick(PoolRouter& router,
                                       model::TargetReport report) {
    while (true) {
      router.ApplyReport(report);
      router.Tick();
      router.Targets();
      co_await Sleep(1ms);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PoolRouterTest);

}  // namespace
}  // namespace verbenalead::daemon
