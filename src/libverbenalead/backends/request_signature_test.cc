#include "backends/request_signature.h"

#include <cppunit/extensions/HelperMacros.h>

#include "base/digest.h"

namespace verbenalead::backends {
namespace {

const SigningKey kKey{"AKIDEXAMPLE", "wJalrXUtnFEMI/K7MDENG+bPxRfiCYEXAMPLEKEY",
                      "us-east-1"};

class RequestSignatureTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestSignatureTest);
  CPPUNIT_TEST(MatchesPublishedExample);
  CPPUNIT_TEST(CoversBody);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// The worked example of the Signature Version 4 documentation.
  void MatchesPublishedExample() {
    wire::Request request;
    request.m_path = "/?Version=2010-05-08&Action=ListUsers";
    request.m_headers["content-type"] =
        "application/x-www-form-urlencoded; charset=utf-8";
    request.m_headers["host"] = "iam.amazonaws.com";
    request.m_headers["x-amz-date"] = "20150830T123600Z";
    CPPUNIT_ASSERT_EQUAL(
        std::string("AWS4-HMAC-SHA256 "
                    "Credential=AKIDEXAMPLE/20150830/us-east-1/iam/"
                    "aws4_request, "
                    "SignedHeaders=content-type;host;x-amz-date, "
                    "Signature=5d672d79c15b13162d9279b0855cfba6"
                    "789a8edb4c82c400e06b5924a6f2b5d7"),
        Authorization(kKey, "iam", request, ToString(Sha256(""))));
  }

  // A body that is changed between this process and the table must not be
  // accepted. The signature covers the digest of the body, so a different body
  // needs a different signature.
  void CoversBody() {
    const auto now =
        std::chrono::system_clock::time_point(std::chrono::seconds(1440938160));
    wire::Request original;
    original.m_body = "a";
    wire::Request changed = original;
    changed.m_body = "b";
    SignRequest(kKey, "dynamodb", "10.0.0.1:8000", now, original);
    SignRequest(kKey, "dynamodb", "10.0.0.1:8000", now, changed);
    CPPUNIT_ASSERT_EQUAL(std::string("20150830T123600Z"),
                         original.m_headers.at("x-amz-date"));
    CPPUNIT_ASSERT(original.m_headers.at("authorization") !=
                   changed.m_headers.at("authorization"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestSignatureTest);

}  // namespace
}  // namespace verbenalead::backends
