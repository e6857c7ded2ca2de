#include "front/problem.h"

#include <cppunit/extensions/HelperMacros.h>
#include <boost/json.hpp>

namespace verbenalead::front {
namespace {

namespace json = boost::json;

class ProblemTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProblemTest);
  CPPUNIT_TEST(ReportsWhetherRequestRan);
  CPPUNIT_TEST(ReportsRetryDelay);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A caller uses `ran` to decide whether a retry is safe. For an unknown
  // outcome it must be null: with false, the caller might run the request
  // twice.
  void ReportsWhetherRequestRan() {
    const std::pair<model::Outcome, json::value> cases[] = {
        {model::Outcome::kRefused, false},
        {model::Outcome::kFailed, true},
        {model::Outcome::kUnknown, nullptr}};
    for (const auto& [outcome, ran] : cases) {
      Problem problem;
      problem.m_outcome = outcome;
      const json::value body = json::parse(ToResponse(problem).m_body);
      CPPUNIT_ASSERT(body.at("ran") == ran);
    }
  }

  void ReportsRetryDelay() {
    Problem problem;
    problem.m_retry_after = 1200ms;
    const wire::Response response = ToResponse(problem);
    CPPUNIT_ASSERT_EQUAL(503, response.m_status);
    CPPUNIT_ASSERT_EQUAL(std::string("2"),
                         response.m_headers.at("retry-after"));
    problem.m_retry_after = {};
    CPPUNIT_ASSERT(!ToResponse(problem).m_headers.contains("retry-after"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProblemTest);

}  // namespace
}  // namespace verbenalead::front
