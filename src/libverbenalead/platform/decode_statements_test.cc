#include "platform/decode_statements.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "platform/names.h"

namespace verbenalead::platform {
namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

model::ReplicaStatements Read(int status,
                              const std::string& name,
                              const std::string& text) {
  return DecodeStatements({status, {{name, text}}});
}

bool IsMalformed(int status, const std::string& name, const std::string& text) {
  const model::ReplicaStatements statements = Read(status, name, text);
  model::ReplicaStatements expected;
  expected.m_malformed = {name};
  return statements == expected;
}

class DecodeStatementsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DecodeStatementsTest);
  CPPUNIT_TEST(ReadsRateLimits);
  CPPUNIT_TEST(ReadsColdTimes);
  CPPUNIT_TEST(ReadsLeaving);
  CPPUNIT_TEST(ReadsRests);
  CPPUNIT_TEST(RetryAfterOfOtherAnswersIsNoRest);
  CPPUNIT_TEST(MalformedFieldLeavesTheOthers);
  CPPUNIT_TEST(AnyTextIsInRangeOrMalformed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsRateLimits() {
    const auto read = [](const char* name, const std::string& text) {
      return Read(kOk, name, text).m_rate_limit;
    };
    CPPUNIT_ASSERT(read(kRateLimit, "2.3") == 2.3);
    CPPUNIT_ASSERT(read(kPrefixedRateLimit, "1") == 1.0);
    CPPUNIT_ASSERT(read(kRateLimit, "0") == 0.0);
    CPPUNIT_ASSERT(read(kRateLimit, "-1") == 0.0);
    CPPUNIT_ASSERT(read(kRateLimit, "999999999999") == 1e6);
    for (const char* text : {"x", "1 2", "nan", "inf", "1e3", "2.3,1", "-"})
      CPPUNIT_ASSERT(IsMalformed(kOk, kRateLimit, text));
    CPPUNIT_ASSERT(DecodeStatements({kOk, {}}) == model::ReplicaStatements());
  }

  // A time that can't be used is read as it is, so that the log can name it.
  void ReadsColdTimes() {
    for (const char* name : {kColdLeft, kPrefixedColdLeft}) {
      CPPUNIT_ASSERT(Read(kOk, name, "1500").m_cold_left == 1500ms);
      CPPUNIT_ASSERT(Read(kUnavailable, name, "0").m_cold_left == 0ms);
      CPPUNIT_ASSERT(Read(kOk, name, "-1").m_cold_left == -1ms);
      CPPUNIT_ASSERT(Read(kOk, name, "99999999999999999").m_cold_left > 10s);
      for (const char* text : {"x", "1 2", "nan", "1,5"})
        CPPUNIT_ASSERT(IsMalformed(kOk, name, text));
    }
  }

  void ReadsLeaving() {
    CPPUNIT_ASSERT(Read(kOk, kLeaving, "1").m_leaving);
    CPPUNIT_ASSERT(Read(kUnavailable, kPrefixedLeaving, "1").m_leaving);
    CPPUNIT_ASSERT(Read(kOk, kLeaving, "0") == model::ReplicaStatements());
    for (const char* text : {"x", "2", "true", " 1"})
      CPPUNIT_ASSERT(IsMalformed(kOk, kLeaving, text));
  }

  void ReadsRests() {
    const auto read = [](const std::string& text) {
      return Read(kUnavailable, kRetryAfter, text).m_rest;
    };
    CPPUNIT_ASSERT(read("3") == Duration(3s));
    CPPUNIT_ASSERT(read("0.4") == Duration(400ms));
    CPPUNIT_ASSERT(read("1000000000") == kMaxRest);
    CPPUNIT_ASSERT(Read(kUnavailable, kRetryAfter, "0") ==
                   model::ReplicaStatements());
    CPPUNIT_ASSERT(Read(429, kRetryAfter, "2").m_rest == Duration(2s));
    for (const char* text :
         {"-1", "x", "1e9", "3, 5", "Fri, 31 Dec 1999 23:59:59 GMT"})
      CPPUNIT_ASSERT(IsMalformed(kUnavailable, kRetryAfter, text));
  }

  void RetryAfterOfOtherAnswersIsNoRest() {
    for (const char* text : {"3", "x"}) {
      CPPUNIT_ASSERT(Read(kOk, kRetryAfter, text) ==
                     model::ReplicaStatements());
    }
  }

  void MalformedFieldLeavesTheOthers() {
    const model::ReplicaStatements statements = DecodeStatements(
        {kUnavailable,
         {{kRateLimit, "x"}, {kLeaving, "1"}, {kRetryAfter, "2"}}});
    CPPUNIT_ASSERT(statements.m_leaving);
    CPPUNIT_ASSERT(statements.m_rest == Duration(2s));
    CPPUNIT_ASSERT(statements.m_malformed ==
                   std::vector<std::string>{kRateLimit});
  }

  // Guards against a text from a replica that ends the process, or that gives a
  // figure which the arithmetic on rates and times can't bear.
  void AnyTextIsInRangeOrMalformed() {
    const bool held = rc::check("statements", [] {
      const auto text = *rc::gen::container<std::string>(rc::gen::oneOf(
          rc::gen::elementOf(std::string("0123456789.-+eE, naif")),
          rc::gen::arbitrary<char>()));
      const model::ReplicaStatements limit = Read(kOk, kRateLimit, text);
      if (limit.m_rate_limit)
        RC_ASSERT(*limit.m_rate_limit >= 0 && *limit.m_rate_limit <= 1e6);
      RC_ASSERT(limit.m_malformed.empty() ==
                (text.empty() || limit.m_rate_limit.has_value()));
      const model::ReplicaStatements rest =
          Read(kUnavailable, kRetryAfter, text);
      if (rest.m_rest)
        RC_ASSERT(*rest.m_rest >= Duration() && *rest.m_rest <= kMaxRest);
      RC_ASSERT(!rest.m_rest || rest.m_malformed.empty());
      const model::ReplicaStatements leaving = Read(kOk, kLeaving, text);
      RC_ASSERT(!leaving.m_leaving || text == "1");
    });
    CPPUNIT_ASSERT(held);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecodeStatementsTest);

}  // namespace
}  // namespace verbenalead::platform
