#include "decide/membership/report_change.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::decide {
namespace {

model::TargetReport Report() {
  model::TargetReport report;
  report.m_name = "target-1";
  report.m_open = true;
  report.m_chunks_total = 100;
  return report;
}

class ReportChangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReportChangeTest);
  CPPUNIT_TEST(LoadChangeIsNotUrgent);
  CPPUNIT_TEST(AvailabilityChangeIsUrgent);
  CPPUNIT_TEST(ProgressIsUrgentByTenths);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Under load, the count of running attempts changes all the time. A report
  // for each change would exceed the limit for control traffic.
  void LoadChangeIsNotUrgent() {
    const std::string seen = ReportMarkOf(Report());
    CPPUNIT_ASSERT(CompareMarks(ReportMarkOf(Report()), seen) ==
                   ReportChange::kNone);
    model::TargetReport busy = Report();
    busy.m_running = 7;
    busy.m_peer_bytes = 1 << 20;
    CPPUNIT_ASSERT(CompareMarks(ReportMarkOf(busy), seen) ==
                   ReportChange::kDeferrable);
  }

  void AvailabilityChangeIsUrgent() {
    const std::string seen = ReportMarkOf(Report());
    model::TargetReport leaving = Report();
    leaving.m_leaving = true;
    model::TargetReport closed = Report();
    closed.m_open = false;
    for (const model::TargetReport& report : {leaving, closed})
      CPPUNIT_ASSERT(CompareMarks(ReportMarkOf(report), seen) ==
                     ReportChange::kUrgent);
    CPPUNIT_ASSERT(CompareMarks(seen, "") == ReportChange::kUrgent);
  }

  void ProgressIsUrgentByTenths() {
    const std::string seen = ReportMarkOf(Report());
    model::TargetReport report = Report();
    report.m_chunks_held = 9;
    CPPUNIT_ASSERT(CompareMarks(ReportMarkOf(report), seen) ==
                   ReportChange::kDeferrable);
    report.m_chunks_held = 10;
    CPPUNIT_ASSERT(CompareMarks(ReportMarkOf(report), seen) ==
                   ReportChange::kUrgent);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReportChangeTest);

}  // namespace
}  // namespace verbenalead::decide
