#include "links/message.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "base/catch_failure.h"

namespace verbenalead::links {
namespace {

class MessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MessageTest);
  CPPUNIT_TEST(EachKindGoesBothWays);
  CPPUNIT_TEST(AnyBytesAreReadOrRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EachKindGoesBothWays() {
    EntryNews entry;
    entry.m_address = {"e1", "a", Endpoint("10.0.0.1", 80),
                       Endpoint("10.0.0.1", 81)};
    entry.m_ready = true;
    entry.m_operator_revision = 5;
    entry.m_operator_proof = 1234ms;
    entry.m_replicas_hash = uint64_t{1} << 63;
    entry.m_replicas_age = 321ms;
    entry.m_crashes = {{uint64_t{1} << 63, "i-1/7", TimePoint()}};
    ReplicaNews replica;
    replica.m_replica = "i-1";
    replica.m_service = "pool";
    replica.m_version = 3;
    replica.m_closing = true;
    replica.m_loading = true;
    replica.m_elsewhere = {5, 900};
    replica.m_waiting = 3;
    const Message messages[] = {
        entry,
        replica,
        CallNews{"i-1", {2, 100}},
        ChunkNews{"10.0.0.2", "m", 2, {0, 3, 47}},
        FollowRequest{true, true, 77, uint64_t{1} << 63},
        PlaceRequest{"i-1", 9, 1290, false, 120ms, 250ms, {2, 100}},
        PlaceAnswer{9, true, false, replica},
        PlaceAnswer{9, false, true, replica},
        PlaceWithdrawal{"i-1", 9},
    };
    for (const Message& message : messages) {
      const std::string text = EncodeMessage(message);
      const auto decoded = CatchFailure([&] { return DecodeMessage(text); });
      CPPUNIT_ASSERT_MESSAGE(text, decoded.has_value());
      CPPUNIT_ASSERT_MESSAGE(text, *decoded == message);
    }
  }

  void AnyBytesAreReadOrRefused() {
    const std::string good =
        EncodeMessage(PlaceRequest{"i-1", 9, 1290, true, 120ms, 250ms, {}});
    const bool held = rc::check("any bytes", [&](const std::string& noise) {
      std::string text = good;
      const size_t at = *rc::gen::inRange<size_t>(0, text.size());
      text.replace(at, std::min(noise.size(), text.size() - at), noise);
      CatchFailure([&] { return DecodeMessage(text); });
    });
    CPPUNIT_ASSERT(held);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageTest);

}  // namespace
}  // namespace verbenalead::links
