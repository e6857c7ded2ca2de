#include "decide/change_source.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::decide {
namespace {

class ChangeSourceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChangeSourceTest);
  CPPUNIT_TEST(NewHostDoesNotReadEachOfManyChanges);
  CPPUNIT_TEST(LeavesItToNearEntriesToTell);
  CPPUNIT_TEST(AsksTheStoreWhereNoNearEntryTells);
  CPPUNIT_TEST(KnownChangesNeedNoQuestion);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Callers are served by a configuration that is 3 s old: hosts are added
  // while the configuration changes five times a second. No entry knows their
  // replicas yet, so they follow the store themselves; as each read every
  // change, 100 KB over the link between regions, it was full for 5 s.
  void NewHostDoesNotReadEachOfManyChanges() {
    const ChangeWatch watch;
    const TimePoint start{std::chrono::hours(1)};
    int questions = 0;
    TimePoint next = start;
    for (TimePoint now = start; now < start + 6s; now += 200ms) {
      if (now < next)
        continue;
      ++questions;
      next = now + QuestionInterval(watch, now);
    }
    CPPUNIT_ASSERT(questions <= 4);
    CPPUNIT_ASSERT(questions >= 3);
  }

  // Configurations come late in a whole region: new weights are declared, and
  // entries of the store's region, which hear first, tell hosts everywhere. All
  // hosts of the other regions then asked the store, at the same moment.
  void LeavesItToNearEntriesToTell() {
    ChangeWatch watch;
    const TimePoint now{std::chrono::hours(1)};
    CPPUNIT_ASSERT(TakeTold(watch, true, 0, now) == ChangeSource::kNone);
    CPPUNIT_ASSERT(TakeTold(watch, false, 7, now + 1s) == ChangeSource::kNone);
    CPPUNIT_ASSERT(TakeTold(watch, true, 7, now + 1200ms) ==
                   ChangeSource::kNearEntry);
  }

  void AsksTheStoreWhereNoNearEntryTells() {
    ChangeWatch watch;
    const TimePoint now{std::chrono::hours(1)};
    CPPUNIT_ASSERT(TakeTold(watch, false, 7, now) == ChangeSource::kStore);
    CPPUNIT_ASSERT(TakeTold(watch, true, 0, now + 1s) == ChangeSource::kNone);
    CPPUNIT_ASSERT(TakeTold(watch, false, 7, now + 4s) == ChangeSource::kStore);
  }

  void KnownChangesNeedNoQuestion() {
    ChangeWatch watch;
    watch.m_weights_revision = 7;
    const TimePoint now{std::chrono::hours(1)};
    CPPUNIT_ASSERT(TakeTold(watch, false, 7, now) == ChangeSource::kNone);
    CPPUNIT_ASSERT(QuestionInterval(watch, now) > 10s);
    CPPUNIT_ASSERT(QuestionInterval(watch, now + 6s) < 2s);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangeSourceTest);

}  // namespace
}  // namespace verbenalead::decide
