#include "base/settings_schema.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "base/catch_failure.h"

namespace verbenalead {
namespace {

SettingsSchema Schema() {
  return SettingsSchema()
      .RequiredText("host", "name")
      .Integer("limits.body", 100, 1, 1000, "bytes", "largest body")
      .Flag("fast", false, "speed")
      .Choice("log.level", {"info", "warn"}, "lowest level that is logged")
      .Address("listen", "127.0.0.1:1", "where")
      .AddressList("entries", "entries");
}

AsyncResult<Settings> Parse(const std::string& text) {
  return CatchFailure([&] { return Schema().Parse(text); });
}

/// Returns the reason why `text` is rejected, or "" if it is accepted.
std::string RejectionReason(const std::string& text) {
  auto settings = Parse(text);
  return settings ? "" : settings.error().m_reason;
}

class SettingsSchemaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsSchemaTest);
  CPPUNIT_TEST(AppliesDefaults);
  CPPUNIT_TEST(ErrorNamesPathValueAndRange);
  CPPUNIT_TEST(RejectsIntegersOutOfRange);
  CPPUNIT_TEST(ArbitraryTextIsAcceptedOrRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AppliesDefaults() {
    const auto settings = Parse(R"({"host": "h1", "limits": {"body": 7}})");
    CPPUNIT_ASSERT(settings.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("h1"), settings->Text("host"));
    CPPUNIT_ASSERT_EQUAL(int64_t{7}, settings->Integer("limits.body"));
    CPPUNIT_ASSERT_EQUAL(std::string("info"), settings->Text("log.level"));
    CPPUNIT_ASSERT(settings->Address("listen") == Endpoint("127.0.0.1", 1));
  }

  void ErrorNamesPathValueAndRange() {
    CPPUNIT_ASSERT_EQUAL(std::string("host is missing; allowed: text"),
                         RejectionReason("{}"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("limits.body is 0; allowed: integer from 1 to 1000 bytes"),
        RejectionReason(R"({"host": "h", "limits": {"body": 0}})"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("log.level is \"loud\"; allowed: one of info, warn"),
        RejectionReason(R"({"host": "h", "log": {"level": "loud"}})"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("lisen is unknown; allowed: a documented key"),
        RejectionReason(R"({"host": "h", "lisen": "127.0.0.1:1"})"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("listen is \"localhost:1\"; allowed: IP:port"),
        RejectionReason(R"({"host": "h", "listen": "localhost:1"})"));
    CPPUNIT_ASSERT_EQUAL(std::string("fast is \"yes\"; allowed: true or false"),
                         RejectionReason(R"({"host": "h", "fast": "yes"})"));
    CPPUNIT_ASSERT(
        !RejectionReason(R"({"host": "h", "entries": ["x"]})").empty());
    // An empty group is accepted. An unknown group is rejected even if it is
    // empty, because its name is probably misspelt.
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         RejectionReason(R"({"host": "h", "limits": {}})"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("limts is unknown; allowed: a documented key"),
        RejectionReason(R"({"host": "h", "limts": {}})"));
  }

  void RejectsIntegersOutOfRange() {
    CPPUNIT_ASSERT(rc::check("range", [](int64_t value) {
      const std::string text =
          R"({"host": "h", "limits": {"body": )" + std::to_string(value) + "}}";
      RC_ASSERT(RejectionReason(text).empty() == (value >= 1 && value <= 1000));
    }));
  }

  void ArbitraryTextIsAcceptedOrRejected() {
    CPPUNIT_ASSERT(rc::check("any text", [](const std::string& text) {
      const auto settings = Parse(text);
      RC_ASSERT(settings.has_value() || !settings.error().m_reason.empty());
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsSchemaTest);

}  // namespace
}  // namespace verbenalead
