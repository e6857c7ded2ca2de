#include "base/endpoint.h"

#include <cppunit/extensions/HelperMacros.h>

#include "base/catch_failure.h"

namespace verbenalead {
namespace {

AsyncResult<Endpoint> Parse(const std::string& text) {
  return CatchFailure([&] { return ParseEndpoint(text); });
}

class EndpointTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointTest);
  CPPUNIT_TEST(RoundTrips);
  CPPUNIT_TEST(RejectsHostNamesAndMalformedText);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RoundTrips() {
    for (const Endpoint& endpoint :
         {Endpoint("10.0.0.3", 7001), Endpoint("::1", 65535)}) {
      const auto parsed = Parse(ToString(endpoint));
      CPPUNIT_ASSERT(parsed.has_value());
      CPPUNIT_ASSERT(*parsed == endpoint);
    }
  }

  void RejectsHostNamesAndMalformedText() {
    for (const char* text : {"", "10.0.0.3", "localhost:80", "10.0.0.3:",
                             "10.0.0.3:65536", "10.0.0.3:8x", ":80"})
      CPPUNIT_ASSERT_MESSAGE(text, !Parse(text).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointTest);

}  // namespace
}  // namespace verbenalead
