#include "entry/replica_change_log.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::entry {
namespace {

class ReplicaChangeLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaChangeLogTest);
  CPPUNIT_TEST(MergesChangesOfOneReplica);
  CPPUNIT_TEST(ManyChangesMakeOneLineOfBoundedLength);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MergesChangesOfOneReplica() {
    ReplicaChangeLog log;
    RecordReplicaChange(log, "i-1", {1, 1, true});
    RecordReplicaChange(log, "i-1", {1, 2, false});
    RecordReplicaChange(log, "i-2", {1, 1, true});
    CPPUNIT_ASSERT_EQUAL(std::string("i-1:1>2 i-2:1>1,loading"),
                         FormatChanges(log, 16));
  }

  // Guards against a log that can't be read when many replicas load new
  // weights, with a line for each step of each replica. One line a second gives
  // the number of changed replicas and names the first.
  void ManyChangesMakeOneLineOfBoundedLength() {
    ReplicaChangeLog log;
    const TimePoint start = TimePoint() + 10s;
    LogReplicaChanges(log, start);
    for (int replica = 0; replica < 150; ++replica)
      RecordReplicaChange(log, "i-" + std::to_string(100 + replica),
                          {1, 2, false});
    CPPUNIT_ASSERT_EQUAL(std::string("i-100:1>2 i-101:1>2"),
                         FormatChanges(log, 2));
    LogReplicaChanges(log, start);
    CPPUNIT_ASSERT(log.m_changes.empty());
    RecordReplicaChange(log, "i-1", {1, 2, false});
    LogReplicaChanges(log, start + 900ms);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, log.m_changes.size());
    LogReplicaChanges(log, start + 1s);
    CPPUNIT_ASSERT(log.m_changes.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaChangeLogTest);

}  // namespace
}  // namespace verbenalead::entry
