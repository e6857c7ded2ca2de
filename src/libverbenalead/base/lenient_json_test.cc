#include "base/lenient_json.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <boost/json.hpp>

namespace verbenalead {
namespace {

namespace json = boost::json;

/// The text that `quoted`, as it stands in a document, is read as.
std::string TextOf(const std::string& quoted) {
  boost::system::error_code error;
  const json::value value =
      ParseLenientJson("[\"" + quoted + "\",\"last\"]", error);
  CPPUNIT_ASSERT_MESSAGE(quoted, !error);
  CPPUNIT_ASSERT_EQUAL(std::string("last"),
                       std::string(value.as_array().at(1).as_string()));
  return std::string(value.as_array().at(0).as_string());
}

class LenientJsonTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LenientJsonTest);
  CPPUNIT_TEST(OddTextsHideNoOther);
  CPPUNIT_TEST(AnyBytesInATextAreRead);
  CPPUNIT_TEST(AnyDocumentIsReadOrRejected);
  CPPUNIT_TEST(TellsTextFromOtherBytes);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against one odd name that makes a whole table unreadable.
  void OddTextsHideNoOther() {
    CPPUNIT_ASSERT_EQUAL(std::string("a\xED\xA0\x80z"), TextOf("a\\ud800z"));
    CPPUNIT_ASSERT_EQUAL(std::string("\xED\xB0\x80"), TextOf("\\uDC00"));
    CPPUNIT_ASSERT_EQUAL(std::string("\xED\xA0\x80\xED\xA0\x80"),
                         TextOf("\\ud800\\ud800"));
    CPPUNIT_ASSERT_EQUAL(std::string("\xED\xA0\x80\xF0\x90\x80\x80"),
                         TextOf("\\ud800\\ud800\\udc00"));
    CPPUNIT_ASSERT_EQUAL(std::string("\\ud800\xED\xA0\x80"),
                         TextOf("\\\\ud800\\ud800"));
    CPPUNIT_ASSERT_EQUAL(std::string("a\nb"), TextOf("a\nb"));
    CPPUNIT_ASSERT_EQUAL(std::string("\\x"), TextOf("\\x"));
    CPPUNIT_ASSERT_EQUAL(std::string("\\u12\xFF"), TextOf("\\u12\xFF"));
  }

  void AnyBytesInATextAreRead() {
    CPPUNIT_ASSERT(rc::check([](std::string bytes) {
      std::erase_if(bytes, [](char c) { return c == '"' || c == '\\'; });
      RC_ASSERT(TextOf(bytes) == bytes);
    }));
  }

  // Guards against a crash of all processes that read the same answer.
  void AnyDocumentIsReadOrRejected() {
    CPPUNIT_ASSERT(rc::check([] {
      const auto text = *rc::gen::container<std::string>(
          rc::gen::elementOf(std::string("\"\\ud8c01{}[]:,\x01\xED\xA0 e-.")));
      boost::system::error_code strict;
      boost::system::error_code lenient;
      const json::value expected = json::parse(text, strict);
      const json::value value = ParseLenientJson(text, lenient);
      if (!strict)
        RC_ASSERT(!lenient && value == expected);
    }));
  }

  void TellsTextFromOtherBytes() {
    for (const char* text :
         {"", "i-7f3a91c2", "a b&+#%", "\u00e9\u4e2d\U0001F600"})
      CPPUNIT_ASSERT_MESSAGE(text, IsPrintableText(text));
    for (const char* bytes : {"\x01", "a\n", "\x7F", "\xED\xA0\x80", "\xFF",
                              "\xC0\x80", "\xE0\x80\x80", "\xF0\x80\x80\x80",
                              "\xF4\x90\x80\x80", "\xE4\xB8", "a\xC3"})
      CPPUNIT_ASSERT(!IsPrintableText(bytes));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LenientJsonTest);

}  // namespace
}  // namespace verbenalead
