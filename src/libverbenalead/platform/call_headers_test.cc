#include "platform/call_headers.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "platform/names.h"

namespace verbenalead::platform {
namespace {

wire::Request CallerRequest() {
  wire::Request request;
  request.m_method = "POST";
  request.m_path = "/p/1?x=2";
  request.m_body = "body";
  request.m_headers = {{"host", "h.example:80"},
                       {"connection", "keep-alive"},
                       {"content-length", "4"},
                       {"x-other", "stays"},
                       {kRequestId, "abc"},
                       {kTimeLeft, "6000"},
                       {kTokenUsage, "1460,80"},
                       {kKey, "secret"},
                       {kOrganisation, "somebody else"},
                       {kExpectReplica, "i-9"},
                       {kQueueRank, "0"}};
  return request;
}

std::vector<std::string> SharedParts(const std::string& field) {
  wire::Request request;
  request.m_headers[kPromptParts] = field;
  return DecodeCall(request).m_shared_parts;
}

class CallHeadersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallHeadersTest);
  CPPUNIT_TEST(DecodesCall);
  CPPUNIT_TEST(DecodesSharedPartsOfPrompts);
  CPPUNIT_TEST(AnyTextIsAListOfParts);
  CPPUNIT_TEST(ForwardsOnlyPermittedFields);
  CPPUNIT_TEST(ForwardsLastEventId);
  CPPUNIT_TEST(DetectsRequestsThatDidNotRun);
  CPPUNIT_TEST(NamesUnknownAnswerFields);
  CPPUNIT_TEST(SetsRetryAfter);
  CPPUNIT_TEST(ReasonOfARefusalIsEscaped);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DecodesCall() {
    const model::InboundCall call = DecodeCall(CallerRequest());
    CPPUNIT_ASSERT_EQUAL(std::string("h.example"), call.m_host);
    CPPUNIT_ASSERT_EQUAL(std::string("/p/1"), call.m_path);
    CPPUNIT_ASSERT(call.m_time_left == Duration(6s));
    CPPUNIT_ASSERT_EQUAL(uint32_t{1460}, call.m_prompt_tokens);
    CPPUNIT_ASSERT_EQUAL(uint32_t{80}, call.m_output_tokens);
  }

  void DecodesSharedPartsOfPrompts() {
    using Parts = std::vector<std::string>;
    CPPUNIT_ASSERT(SharedParts("") == Parts{});
    CPPUNIT_ASSERT(SharedParts("5c1e:800") == Parts{});
    CPPUNIT_ASSERT(SharedParts("5c1e:800,91bd:410,e440:2") ==
                   (Parts{"5c1e", "91bd"}));
    CPPUNIT_ASSERT(SharedParts("5C1E:800, 005c1e:1,91BD,e4:2,") ==
                   (Parts{"5c1e", "91bd"}));
    CPPUNIT_ASSERT(SharedParts(",,:,a:1,:5") == (Parts{"a"}));
  }

  // A hostile field costs bounded memory and no error.
  void AnyTextIsAListOfParts() {
    const bool passed = rc::check("parts", [](const std::string& text) {
      for (const std::string& part : {text, text + ",", "," + text + ",x"}) {
        const auto parts = SharedParts(part);
        RC_ASSERT(parts.size() <= 16u);
        for (const std::string& id : parts)
          RC_ASSERT(!id.empty() && id.size() <= 64u);
      }
    });
    CPPUNIT_ASSERT(passed);
    std::string huge;
    for (int part = 0; part < 100000; ++part)
      huge += std::to_string(part + 1) + ":1,";
    CPPUNIT_ASSERT_EQUAL(size_t{16}, SharedParts(huge + "x").size());
  }

  // Guards against callers that act as another organisation or choose their
  // replica, which they could if the entry forwarded their header fields of
  // these names. Also, the caller's key must not leave the entry.
  void ForwardsOnlyPermittedFields() {
    ForwardedCall call;
    call.m_replica = "i-1";
    call.m_time_left = 5s;
    call.m_organisation = "acme";
    const wire::Request out = EncodeForReplica(CallerRequest(), call);
    CPPUNIT_ASSERT_EQUAL(std::string("/p/1?x=2"), out.m_path);
    CPPUNIT_ASSERT_EQUAL(std::string("body"), out.m_body);
    const wire::Headers expected = {
        {"host", "h.example:80"}, {"x-other", "stays"},
        {kRequestId, "abc"},      {kTimeLeft, "5000"},
        {kTokenUsage, "1460,80"}, {kOrganisation, "acme"},
        {kExpectReplica, "i-1"}};
    CPPUNIT_ASSERT(expected == out.m_headers);
  }

  void ForwardsLastEventId() {
    wire::Request request = CallerRequest();
    request.m_headers[kLastEventId] = "12";
    ForwardedCall call;
    CPPUNIT_ASSERT_EQUAL(
        std::string("12"),
        wire::Get(EncodeForReplica(request, call).m_headers, kLastEventId));
    call.m_last_event = "20";
    CPPUNIT_ASSERT_EQUAL(
        std::string("20"),
        wire::Get(EncodeForReplica(request, call).m_headers, kLastEventId));
  }

  void DetectsRequestsThatDidNotRun() {
    CPPUNIT_ASSERT(DecodeAnswer({503, {{kNotExecuted, "1"}}}).m_not_run);
    CPPUNIT_ASSERT(DecodeAnswer({421, {}}).m_not_run);
    CPPUNIT_ASSERT(!DecodeAnswer({503, {}}).m_not_run);
    CPPUNIT_ASSERT(!DecodeAnswer({500, {{kStamp, "s"}}}).m_not_run);
  }

  // Guards against a rate limit that is overlooked or misread.
  void NamesUnknownAnswerFields() {
    const std::vector<std::string> unknown = UnknownAnswerFields(
        {200,
         {{kStamp, "s"}, {"x-new", "1"}, {"keep-alive", "4"}, {"date", "d"}}});
    CPPUNIT_ASSERT(unknown == std::vector<std::string>{"x-new"});
  }

  // Guards against a refusal that can't be read: its reason names a part of the
  // prompt, whose id comes from the caller.
  void ReasonOfARefusalIsEscaped() {
    CPPUNIT_ASSERT_EQUAL(std::string("{\"reason\":\"part a\\\"b\"}\n"),
                         EncodeRefusal(503, "", "part a\"b", 0s).m_body);
  }

  void SetsRetryAfter() {
    const wire::Response response = EncodeRefusal(503, "abc", "full", 1250ms);
    CPPUNIT_ASSERT_EQUAL(std::string("1.25"),
                         wire::Get(response.m_headers, "retry-after"));
    CPPUNIT_ASSERT_EQUAL(std::string("abc"),
                         wire::Get(response.m_headers, kRequestId));
    CPPUNIT_ASSERT(
        !EncodeRefusal(404, "", "no", 0s).m_headers.contains("retry-after"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallHeadersTest);

}  // namespace
}  // namespace verbenalead::platform
