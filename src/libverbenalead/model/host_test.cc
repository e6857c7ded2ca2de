#include "model/host.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "base/catch_failure.h"
#include "model/host_builder.h"

namespace verbenalead::model {
namespace {

AsyncResult<std::vector<Host>> Parse(const std::string& text) {
  return CatchFailure([&] { return ParseHostList(text); });
}

class HostTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HostTest);
  CPPUNIT_TEST(ReadsServiceDiscovery);
  CPPUNIT_TEST(RejectsMalformedLists);
  CPPUNIT_TEST(ArbitraryTextIsAcceptedOrRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsServiceDiscovery() {
    const auto hosts = Parse(
        R"([{"targets": ["10.0.0.1:7"], "labels": {"host": "t1",
             "role": "target", "region": "mtl", "pool": "p",
             "state": "leaving"}}])");
    CPPUNIT_ASSERT(hosts.has_value());
    const Host expected = HostBuilder()
                              .Name("t1")
                              .Role(HostRole::kTarget)
                              .Region("mtl")
                              .Pool("p")
                              .Peer(Endpoint("10.0.0.1", 7))
                              .Leaving(true)
                              .Build();
    CPPUNIT_ASSERT(*hosts == std::vector<Host>{expected});
  }

  void RejectsMalformedLists() {
    for (const char* text :
         {"", "{}", "[1]", R"([{"targets": ["10.0.0.1:7"]}])",
          R"([{"targets": [7], "labels": {}}])",
          R"([{"targets": ["host:7"], "labels": {"host": "a", "role": "x"}}])"})
      CPPUNIT_ASSERT_MESSAGE(text, !Parse(text).has_value());
  }

  void ArbitraryTextIsAcceptedOrRejected() {
    CPPUNIT_ASSERT(rc::check("any text", [](const std::string& text) {
      const auto hosts = Parse(text);
      RC_ASSERT(hosts.has_value() || !hosts.error().m_reason.empty());
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostTest);

}  // namespace
}  // namespace verbenalead::model
