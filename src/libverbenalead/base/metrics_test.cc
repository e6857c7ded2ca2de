#include "base/metrics.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>
#include <vector>

#include "base/metric_label.h"

namespace verbenalead {
namespace {

bool HasLine(const std::string& text, const std::string& line) {
  return text.find(line + "\n") != std::string::npos;
}

class MetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(WritesTheExpositionFormat);
  CPPUNIT_TEST(NamesInLabelsAreEscaped);
  CPPUNIT_TEST(CountsFromSeveralThreads);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WritesTheExpositionFormat() {
    Metrics metrics;
    metrics.Count("calls_total", "outcome=\"completed\"");
    metrics.Count("calls_total", "outcome=\"refused\"", 2);
    metrics.Set("revision", "", 7);
    for (int i = 1; i <= 100; ++i)
      metrics.Observe("call_seconds", "", i);
    const std::string text = metrics.Text();
    CPPUNIT_ASSERT(HasLine(text, "# TYPE verbenalead_calls_total counter"));
    CPPUNIT_ASSERT(
        HasLine(text, "verbenalead_calls_total{outcome=\"refused\"} 2"));
    CPPUNIT_ASSERT(HasLine(text, "verbenalead_revision 7"));
    CPPUNIT_ASSERT(HasLine(text, "verbenalead_call_seconds_sum 5050"));
    CPPUNIT_ASSERT(HasLine(text, "verbenalead_call_seconds_count 100"));
  }

  // Guards against a page of metrics that can't be read for one name.
  void NamesInLabelsAreEscaped() {
    CPPUNIT_ASSERT_EQUAL(std::string("model=\"a\\\"b\\\\c\\nd\""),
                         MetricLabel("model", "a\"b\\c\nd"));
  }

  void CountsFromSeveralThreads() {
    Metrics metrics;
    std::vector<std::thread> threads;
    for (int t = 0; t < 4; ++t) {
      threads.emplace_back([&metrics] {
        for (int i = 0; i < 1000; ++i)
          metrics.Count("n", "");
      });
    }
    for (std::thread& thread : threads)
      thread.join();
    CPPUNIT_ASSERT(HasLine(metrics.Text(), "verbenalead_n 4000"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

}  // namespace
}  // namespace verbenalead
