#include "base/secret.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead {
namespace {

class SecretTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SecretTest);
  CPPUNIT_TEST(MatchesRfc4231);
  CPPUNIT_TEST(ComparesWholeSecrets);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Test case 2 from RFC 4231.
  void MatchesRfc4231() {
    CPPUNIT_ASSERT_EQUAL(std::string("5bdcc146bf60754e6a042426089575c7"
                                     "5a003f089d2739839dec58b964ec3843"),
                         HmacSha256("Jefe", "what do ya want for nothing?"));
  }

  void ComparesWholeSecrets() {
    CPPUNIT_ASSERT(EqualSecrets("abc", "abc"));
    CPPUNIT_ASSERT(!EqualSecrets("abc", "abd"));
    CPPUNIT_ASSERT(!EqualSecrets("abc", "ab"));
    CPPUNIT_ASSERT(EqualSecrets("", ""));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SecretTest);

}  // namespace
}  // namespace verbenalead
