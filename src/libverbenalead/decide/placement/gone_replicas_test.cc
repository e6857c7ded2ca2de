#include "decide/placement/gone_replicas.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::decide {
namespace {

constexpr Duration kReturn = 100s;

model::Replica Listed(model::Revision revision, uint64_t started_ms = 1) {
  model::Replica replica;
  replica.m_id = "a";
  replica.m_started_ms = started_ms;
  replica.m_revision = revision;
  return replica;
}

class GoneReplicasTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GoneReplicasTest);
  CPPUNIT_TEST(ARowOfTheCopyDoesNotBringAReplicaBack);
  CPPUNIT_TEST(ALiveReplicaIsUsedAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_gone = GoneReplicas();
    RecordGone(m_gone, Listed({1, 50}), kReturn - 2s);
  }

  // Guards against calls to a replica that was known to be gone before the
  // store came back from a copy.
  void ARowOfTheCopyDoesNotBringAReplicaBack() {
    CPPUNIT_ASSERT(IsBack({2, 40}, kReturn));
    CPPUNIT_ASSERT(IsBack({2, 40}, kReturn + 4s));
    CPPUNIT_ASSERT(!IsBack({2, 40}, kReturn + kDeadRowsExpireWithin));
  }

  // Guards against a live replica without calls, whose row had expired.
  void ALiveReplicaIsUsedAgain() {
    CPPUNIT_ASSERT(IsBack({2, 40}, kReturn));
    // It writes its row again.
    CPPUNIT_ASSERT(!IsBack({2, 61}, kReturn + 1s));
    CPPUNIT_ASSERT(!IsBack({2, 61}, kReturn + 1s));
    setUp();
    // It does so before any return.
    CPPUNIT_ASSERT(!IsBack({1, 70}, kReturn - 1s));
    setUp();
    CPPUNIT_ASSERT(
        !IsBackFromCopy(m_gone, Listed({2, 40}, 2), kReturn, kReturn));
  }

 private:
  bool IsBack(model::Revision revision, Duration now) {
    return IsBackFromCopy(m_gone, Listed(revision), kReturn, now);
  }

  GoneReplicas m_gone;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GoneReplicasTest);

}  // namespace
}  // namespace verbenalead::decide
