#include "platform/config_services.h"

#include <cppunit/extensions/HelperMacros.h>

#include "base/catch_failure.h"
#include "platform/decode_config.h"

namespace verbenalead::platform {
namespace {

class ConfigServicesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigServicesTest);
  CPPUNIT_TEST(KeepsServicesOnly);
  CPPUNIT_TEST(ReturnsMalformedTextUnchanged);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KeepsServicesOnly() {
    const std::string config =
        R"({"version":7,"routes":[{"host":"h","prefix":"/","service":"s"}],)"
        R"("tenants":[{"name":"acme","api_keys":["secret"]}],)"
        R"("services":[{"name":"s","engine":{"slots":16,"chunks":48}},)"
        R"({"name":"w","origin":"10.0.0.1:80","link_mbps":9.0}]})";
    const std::string text = ServicesOnly(config);
    CPPUNIT_ASSERT(text.find("secret") == std::string::npos);
    const auto whole = CatchFailure([&] { return DecodeConfig(config); });
    const auto part = CatchFailure([&] { return DecodeConfig(text); });
    CPPUNIT_ASSERT(whole && part);
    CPPUNIT_ASSERT_EQUAL(uint64_t{7}, part->m_version);
    CPPUNIT_ASSERT(part->m_routes.empty() && part->m_organisations.empty());
    CPPUNIT_ASSERT(part->m_services == whole->m_services);
  }

  void ReturnsMalformedTextUnchanged() {
    for (const char* text : {"", "[]", "{\"version\":"})
      CPPUNIT_ASSERT_EQUAL(std::string(text), ServicesOnly(text));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigServicesTest);

}  // namespace
}  // namespace verbenalead::platform
