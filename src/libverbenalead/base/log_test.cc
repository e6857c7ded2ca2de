#include "base/log.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace verbenalead {
namespace {

class LogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogTest);
  CPPUNIT_TEST(QuotesWhereNeeded);
  CPPUNIT_TEST(OneEventIsOneLine);
  CPPUNIT_TEST_SUITE_END();

 public:
  void QuotesWhereNeeded() {
    const LogLine line =
        LogLine("x").With("a", "plain").With("b", "two words").With("c", "");
    CPPUNIT_ASSERT_EQUAL(std::string("event=x a=plain b=\"two words\" c=\"\""),
                         line.text());
  }

  // Guards against forged log events: a caller may send an id with a line
  // break in it.
  void OneEventIsOneLine() {
    CPPUNIT_ASSERT(rc::check("no value breaks its line", [] {
      const std::string value = *rc::gen::string<std::string>();
      const std::string escaped = EscapeLogValue(value);
      RC_ASSERT(escaped.find('\n') == std::string::npos);
      RC_ASSERT(escaped.find('\r') == std::string::npos);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);

}  // namespace
}  // namespace verbenalead
