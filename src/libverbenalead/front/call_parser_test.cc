#include "front/call_parser.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "base/catch_failure.h"

namespace verbenalead::front {
namespace {

const TimePoint kNow{};

decide::ConfigState Config() {
  decide::ConfigState config;
  config.m_resources[{"limits", "acme"}] = {"{}", 1};
  config.m_resources[{"route", "breakdowns"}] = {R"({"pool": "drafting"})", 2};
  config.m_resources[{"service", "ledger"}] = {R"({"pool": "fees"})", 3};
  return config;
}

wire::Request Completion(const std::string& body) {
  wire::Request request;
  request.m_method = "POST";
  request.m_path = "/v1/completions";
  request.m_headers[kOrganisationHeader] = "acme";
  request.m_body = body;
  return request;
}

AsyncResult<model::Call> Parse(const wire::Request& request) {
  return CatchFailure([&] { return ParseCall(request, Config(), "id", kNow); });
}

FailureCode CodeOf(const wire::Request& request) {
  auto call = Parse(request);
  CPPUNIT_ASSERT(!call);
  return call.error().m_code;
}

const char kGood[] = R"({"model": "breakdowns", "prompt": "x"})";

class CallParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallParserTest);
  CPPUNIT_TEST(ParsesCompletion);
  CPPUNIT_TEST(ParsesServiceCall);
  CPPUNIT_TEST(NonIdempotentRequestNeedsKey);
  CPPUNIT_TEST(DistinguishesInvalidFromNotFound);
  CPPUNIT_TEST(AcceptsOrRejectsAnyBody);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ParsesCompletion() {
    wire::Request request = Completion(kGood);
    request.m_headers[kTimeoutHeader] = "1500";
    request.m_headers[kPriorityHeader] = "u=1, i";
    const auto call = Parse(request);
    CPPUNIT_ASSERT(call.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("drafting"), call->pool());
    CPPUNIT_ASSERT_EQUAL(std::string("id"), call->id());
    CPPUNIT_ASSERT_EQUAL(1, call->urgency());
    CPPUNIT_ASSERT(call->deadline() == kNow + 1500ms);
    CPPUNIT_ASSERT(call->idempotent());
  }

  void ParsesServiceCall() {
    wire::Request request;
    request.m_path = "/services/ledger/fees/7?full=1";
    request.m_headers[kOrganisationHeader] = "acme";
    const auto call = Parse(request);
    CPPUNIT_ASSERT(call.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("fees"), call->pool());
    CPPUNIT_ASSERT_EQUAL(std::string("/fees/7?full=1"), TargetPath(request));
  }

  void NonIdempotentRequestNeedsKey() {
    wire::Request request = Completion(kGood);
    request.m_headers[kIdempotentHeader] = "false";
    CPPUNIT_ASSERT(CodeOf(request) == FailureCode::kInvalid);
    request.m_headers[kIdempotencyKeyHeader] = "fee-42";
    const auto call = Parse(request);
    CPPUNIT_ASSERT(call.has_value());
    CPPUNIT_ASSERT(!call->idempotent());
    CPPUNIT_ASSERT_EQUAL(std::string("fee-42"), call->idempotency_key());
  }

  void DistinguishesInvalidFromNotFound() {
    for (const char* body :
         {"", "[]", "{}", R"({"model": 1, "prompt": "x"})",
          R"({"model": "breakdowns"})",
          R"({"model": "breakdowns", "prompt": "x", "max_tokens": 0})",
          R"({"model": "breakdowns", "prompt": "x", "stream": "yes"})"})
      CPPUNIT_ASSERT(CodeOf(Completion(body)) == FailureCode::kInvalid);
    const char other[] = R"({"model": "other", "prompt": "x"})";
    CPPUNIT_ASSERT(CodeOf(Completion(other)) == FailureCode::kNotFound);
    wire::Request request = Completion(kGood);
    request.m_headers[kOrganisationHeader] = "nobody";
    CPPUNIT_ASSERT(CodeOf(request) == FailureCode::kNotFound);
    request = Completion(kGood);
    request.m_headers[kTimeoutHeader] = "soon";
    CPPUNIT_ASSERT(CodeOf(request) == FailureCode::kInvalid);
    request = Completion(kGood);
    request.m_path = "/v2/other";
    CPPUNIT_ASSERT(CodeOf(request) == FailureCode::kNotFound);
  }

  void AcceptsOrRejectsAnyBody() {
    CPPUNIT_ASSERT(rc::check("any body", [](const std::string& body) {
      const auto call = Parse(Completion(body));
      RC_ASSERT(call.has_value() || !call.error().m_reason.empty());
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallParserTest);

}  // namespace
}  // namespace verbenalead::front
