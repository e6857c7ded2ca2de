#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "base/base64.h"
#include "base/catch_failure.h"
#include "platform/decode_config.h"
#include "platform/decode_replica.h"
#include "platform/decode_weights.h"

namespace verbenalead::platform {
namespace {

constexpr char kReplica[] =
    R"({"service":"pool","address":"10.0.0.9:8080","zone":"a","version":"v1",)"
    R"("slots":16,"state":"ready","cold_left_ms":750,"born":1700000000000,)"
    R"("models":[{"name":"m","version":2,"adapters":[]}],"sequence":4})";

AsyncResult<model::Replica> Replica(const std::string& text) {
  return CatchFailure([&] { return DecodeReplica("i-1", text); });
}

std::string With(std::string text,
                 const std::string& before,
                 const std::string& after) {
  return text.replace(text.find(before), before.size(), after);
}

AsyncResult<model::Replica> ReplicaNamed(const std::string& id) {
  return CatchFailure([&] { return DecodeReplica(id, kReplica); });
}

class DecodeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DecodeTest);
  CPPUNIT_TEST(DecodesReplica);
  CPPUNIT_TEST(OddNameIsNoReplica);
  CPPUNIT_TEST(RejectsMalformedReplicaRows);
  CPPUNIT_TEST(DecodesOrRejectsAnyBytes);
  CPPUNIT_TEST(DecodesReport);
  CPPUNIT_TEST(DecodesConfiguration);
  CPPUNIT_TEST(RanksAreClamped);
  CPPUNIT_TEST(UnknownKindsRunAtMostOnce);
  CPPUNIT_TEST(RejectsConfigurationWithBadRoute);
  CPPUNIT_TEST(DecodesDeclaredWeights);
  CPPUNIT_TEST(RoundTripsBase64);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against calls to the address in another writer's row, and against
  // the replica at that address being hidden by it.
  void OddNameIsNoReplica() {
    for (const char* id : {"i-7f3a91c2", "i-1", "srv.a_3~x"})
      CPPUNIT_ASSERT_MESSAGE(id, ReplicaNamed(id));
    for (const char* id :
         {"", "a14%#", "a28+", "i-3&", "i-3 x", "i-3/x", "i-3?",
          "i-3=", "i-3\"", "i-3\n", "i-3\u00e9", "i-3,"})
      CPPUNIT_ASSERT_MESSAGE(id, !ReplicaNamed(id));
  }

  void DecodesReplica() {
    const auto replica = Replica(kReplica);
    CPPUNIT_ASSERT(replica.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), replica->m_id);
    CPPUNIT_ASSERT(replica->m_endpoint == Endpoint("10.0.0.9", 8080));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1700000000000}, replica->m_started_ms);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, replica->m_weights.at("m"));
    CPPUNIT_ASSERT(!replica->m_leaving);
    CPPUNIT_ASSERT(replica->m_cold_left == Duration(750ms));
  }

  // Guards against malformed rows that another program wrote to the table of
  // replicas. None of them may be taken for a usable replica.
  void RejectsMalformedReplicaRows() {
    const std::string good = kReplica;
    const std::string bad[] = {
        "",
        "\xff\xfe",
        "[]",
        "{}",
        With(good, "\"ready\"", "\"asleep\""),
        With(good, "\"ready\"", "7"),
        With(good, "16", "\"16\""),
        With(good, "16", "-1"),
        With(good, "10.0.0.9:8080", "somewhere"),
        With(good, "1700000000000", "1.5"),
        With(good, "1700000000000", "\"x\""),
        With(good, "\"version\":2", "\"version\":\"2\""),
        With(good, "\"service\":\"pool\",", ""),
    };
    for (const std::string& text : bad)
      CPPUNIT_ASSERT_MESSAGE(text, !Replica(text).has_value());
  }

  void DecodesOrRejectsAnyBytes() {
    const bool held = rc::check("any bytes", [](const std::string& noise) {
      std::string text = kReplica;
      const size_t at = *rc::gen::inRange<size_t>(0, text.size());
      text.replace(at, std::min(noise.size(), text.size() - at), noise);
      Replica(text);
      CatchFailure([&] { return DecodeReport(text); });
      CatchFailure([&] { return DecodeConfig(text); });
      DecodeWeights(text);
    });
    CPPUNIT_ASSERT(held);
  }

  void DecodesReport() {
    const auto report = CatchFailure([] {
      return DecodeReport(
          R"({"stage":"both","models":[{"name":"m","version":3}],"busy":true,)"
          R"("sequence":5,"queued":1,"active":12,"born":9})");
    });
    CPPUNIT_ASSERT(report.has_value());
    CPPUNIT_ASSERT(report->m_loading);
    CPPUNIT_ASSERT_EQUAL(uint64_t{5}, report->m_orders);
    CPPUNIT_ASSERT_EQUAL(uint32_t{12}, report->m_active);
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, report->m_weights.at("m"));
  }

  void DecodesConfiguration() {
    const auto config = CatchFailure([] {
      return DecodeConfig(
          R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",)"
          R"("route_kind":"streaming","timeout_ms":6000,"slo_ms":400,)"
          R"("priority":1,"regions_allowed":["north","east"],"split":[{"service":"a","weight":90},)"
          R"({"service":"b","weight":10}],"max_attempts":2,"resumable":true}],)"
          R"("services":[{"name":"a","max_conns":9,"cold_start_s":2.5,)"
          R"("cold_per_s":14.0,"engine":{"slots":16,)"
          R"("models":[{"name":"m","warm_s":0.3}],"read_per_s":30600.0,)"
          R"("step_ms":6.73,"stride":6,"chunks":48,"chunk_bytes":49152}},)"
          R"({"name":"o","origin":"172.20.0.3:8006","link_mbps":15.0}],)"
          R"("limits":{"idle_timeout_ms":5000},)"
          R"("tenants":[{"name":"acme","api_keys":["k"],"priority":0,)"
          R"("regions_allowed":["north"]}]})");
    });
    CPPUNIT_ASSERT(config.has_value());
    const model::Route& route = config->m_routes.at(0);
    CPPUNIT_ASSERT(route.m_kind == model::CallKind::kStream);
    CPPUNIT_ASSERT(route.m_objective == Duration(400ms));
    CPPUNIT_ASSERT_EQUAL(uint32_t{90}, route.m_services.at(0).m_weight);
    CPPUNIT_ASSERT(route.m_resumable);
    CPPUNIT_ASSERT(route.m_regions ==
                   (std::vector<std::string>{"north", "east"}));
    CPPUNIT_ASSERT(config->m_organisations.at(0).m_regions ==
                   std::vector<std::string>{"north"});
    CPPUNIT_ASSERT(config->m_services.at(0).m_cold_start == Duration(2500ms));
    CPPUNIT_ASSERT_EQUAL(14.0, config->m_services.at(0).m_cold_rate);
    CPPUNIT_ASSERT_EQUAL(0.0, config->m_services.at(1).m_cold_rate);
    const model::EngineProfile& engine = *config->m_services.at(0).m_engine;
    CPPUNIT_ASSERT_EQUAL(std::string("m"), engine.m_model);
    CPPUNIT_ASSERT(engine.m_load == Duration(300ms));
    CPPUNIT_ASSERT(config->m_services.at(1).m_origin ==
                   Endpoint("172.20.0.3", 8006));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1875000},
                         config->m_services.at(1).m_origin_rate);
    CPPUNIT_ASSERT(config->m_idle_timeout == Duration(5s));
    CPPUNIT_ASSERT(config->m_organisations.at(0).m_urgency == 0);
  }

  // Guards against ranks without a place in the order: a negative, a too large
  // and a broken one.
  void RanksAreClamped() {
    const auto config = CatchFailure([] {
      return DecodeConfig(
          R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/",)"
          R"("service":"a","priority":-3}],"tenants":[)"
          R"({"name":"x","priority":1e300},{"name":"y","priority":1.5},)"
          R"({"name":"z","priority":9}]})");
    });
    CPPUNIT_ASSERT_EQUAL(0, config->m_routes.at(0).m_urgency);
    CPPUNIT_ASSERT(config->m_organisations.at(0).m_urgency == 9);
    CPPUNIT_ASSERT(config->m_organisations.at(1).m_urgency == 1);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, config->m_clamped_ranks.size());
  }

  void UnknownKindsRunAtMostOnce() {
    const auto config = CatchFailure([] {
      return DecodeConfig(
          R"({"version":1,"routes":[{"host":"h","prefix":"/","service":"a",)"
          R"("route_kind":"brand-new"}]})");
    });
    CPPUNIT_ASSERT(config->m_routes.at(0).m_kind ==
                   model::CallKind::kAtMostOnce);
  }

  void RejectsConfigurationWithBadRoute() {
    CPPUNIT_ASSERT(!CatchFailure([] {
                      return DecodeConfig(
                          R"({"version":1,"routes":[{"host":"h"}]})");
                    }).has_value());
  }

  void DecodesDeclaredWeights() {
    CPPUNIT_ASSERT(DecodeWeights(R"({"model":"m","version":2})") ==
                   (DeclaredWeights{"m", 2}));
    CPPUNIT_ASSERT(!DecodeWeights(R"({"model":"m"})"));
  }

  void RoundTripsBase64() {
    const bool held = rc::check("base64", [](const std::string& bytes) {
      RC_ASSERT(*CatchFailure([&] {
        return DecodeBase64(EncodeBase64(bytes));
      }) == bytes);
    });
    CPPUNIT_ASSERT(held);
    CPPUNIT_ASSERT(!CatchFailure([] { return DecodeBase64("a!=="); }));
    CPPUNIT_ASSERT(!CatchFailure([] { return DecodeBase64("abc"); }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecodeTest);

}  // namespace
}  // namespace verbenalead::platform
