#include "entry/startup_progress.h"

#include <cppunit/extensions/HelperMacros.h>

#include "entry/call_fixture.h"

namespace verbenalead::entry {
namespace {

class StartupProgressTest : public CallFixture {
  CPPUNIT_TEST_SUITE(StartupProgressTest);
  CPPUNIT_TEST(StepIsRecordedOnce);
  CPPUNIT_TEST(MissingStepsAreInTheMetrics);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StepIsRecordedOnce() {
    StartupProgress progress;
    progress.m_started = Now();
    CPPUNIT_ASSERT(
        RecordStartupSteps(*m_state, progress, progress.m_started + 2s));
    m_state->m_lease = {};
    CPPUNIT_ASSERT(
        RecordStartupSteps(*m_state, progress, progress.m_started + 3s));
    CPPUNIT_ASSERT(HasMetric("start_step_seconds{step=\"lease\"} 2"));
    CPPUNIT_ASSERT(HasMetric("start_waits{step=\"lease\"} 0"));
  }

  void MissingStepsAreInTheMetrics() {
    m_state->m_replicas_known = false;
    StartupProgress progress;
    progress.m_started = Now();
    CPPUNIT_ASSERT(!RecordStartupSteps(*m_state, progress, progress.m_started));
    CPPUNIT_ASSERT(HasMetric("start_waits{step=\"replicas\"} 1"));
    CPPUNIT_ASSERT(HasMetric("start_waits{step=\"configuration\"} 0"));
    m_state->m_replicas_known = true;
    CPPUNIT_ASSERT(
        RecordStartupSteps(*m_state, progress, progress.m_started + 5s));
    CPPUNIT_ASSERT(HasMetric("start_step_seconds{step=\"replicas\"} 5"));
  }

 private:
  bool HasMetric(const std::string& line) const {
    return m_state->m_metrics.Text().find("verbenalead_" + line) !=
           std::string::npos;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartupProgressTest);

}  // namespace
}  // namespace verbenalead::entry
