#include "front/trace_summary.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::front {
namespace {

class TraceSummaryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TraceSummaryTest);
  CPPUNIT_TEST(SummarizesOutcome);
  CPPUNIT_TEST(ReportsUnknownWithoutOutcome);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SummarizesOutcome() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("ran: yes, on target-3, version ab, 1 attempt, outcome "
                    "completed"),
        SummarizeTrace({"unix_us=1 host=e event=outcome outcome=completed "
                        "target=target-3 version=ab attempts=1 reason=\"\" "
                        "request=r"}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("ran: no, 2 attempts, outcome refused, reason queue full"),
        SummarizeTrace({"unix_us=1 host=e event=outcome outcome=refused "
                        "target=\"\" version=\"\" attempts=2 "
                        "reason=\"queue full\" request=r"}));
  }

  // The entry ended before it recorded an outcome. The target's first line
  // shows only that the request began, so the summary must not claim that it
  // completed.
  void ReportsUnknownWithoutOutcome() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("ran: at least begun, on target-1, version ab, no line "
                    "tells the outcome"),
        SummarizeTrace({"unix_us=1 host=t event=entered attempt=1 "
                        "target=target-1 digest=ab request=r"}));
    CPPUNIT_ASSERT(SummarizeTrace({"event=host_silent host=t"})
                       .starts_with("ran: unknown"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TraceSummaryTest);

}  // namespace
}  // namespace verbenalead::front
