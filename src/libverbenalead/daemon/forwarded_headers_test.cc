#include "daemon/forwarded_headers.h"

#include <cppunit/extensions/HelperMacros.h>

#include "peer/header_names.h"

namespace verbenalead::daemon {
namespace {

class ForwardedHeadersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwardedHeadersTest);
  CPPUNIT_TEST(FieldsOfAttemptsCannotBeForged);
  CPPUNIT_TEST(OtherFieldsAreForwarded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A caller or a back end must not pose as an entry or a target.
  void FieldsOfAttemptsCannotBeForged() {
    for (const char* name : {"x-request-id",      "x-call",
                             "x-attempt",         "x-incarnation",
                             "x-organisation",    "x-path",
                             "x-method",          "x-model-digest",
                             "x-deadline-ms",     "x-max-running",
                             "x-config-revision", "x-config-from-table",
                             "x-report-mark",     "x-peer-authorization",
                             "x-outcome",         "x-reason",
                             "x-model-version",   "x-target",
                             "x-running",         "x-attempts",
                             "x-length",          "x-sha256"}) {
      const wire::Headers forged{{name, "1"}};
      CPPUNIT_ASSERT_MESSAGE(name, ForwardedRequestHeaders(forged).empty());
      CPPUNIT_ASSERT_MESSAGE(name, ForwardedResponseHeaders(forged).empty());
    }
  }

  void OtherFieldsAreForwarded() {
    const wire::Headers headers{{"accept", "text/event-stream"},
                                {"x-callers-own", "1"}};
    CPPUNIT_ASSERT(ForwardedRequestHeaders(headers) == headers);
    CPPUNIT_ASSERT(ForwardedResponseHeaders(headers) == headers);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardedHeadersTest);

}  // namespace
}  // namespace verbenalead::daemon
