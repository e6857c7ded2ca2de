#include "links/message.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "base/catch_failure.h"

namespace verbenalead::links {
namespace {

class MessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MessageTest);
  CPPUNIT_TEST(RoundTripsEachKind);
  CPPUNIT_TEST(DecodesOrRejectsAnyBytes);
  CPPUNIT_TEST(RejectsMalformedSummaries);
  CPPUNIT_TEST(AnnouncementWithoutOutageIsUnchanged);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against new fields in messages of deployments that don't ask for
  // them.
  void AnnouncementWithoutOutageIsUnchanged() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("{\"kind\":\"draws\",\"host\":\"h\",\"model\":\"m\","
                    "\"version\":2,\"under_way\":[7],\"drawn\":[8]}"),
        EncodeMessage(OriginFetchUpdate{"m", 2, {"h", {7}, {8}}, {}}));
  }

  void RoundTripsEachKind() {
    EntryUpdate entry;
    entry.m_address = {"e1", "a", Endpoint("10.0.0.1", 80),
                       Endpoint("10.0.0.1", 81)};
    entry.m_ready = true;
    entry.m_operator_revision = {3, 5};
    entry.m_operator_confirmed_at = 1234ms;
    entry.m_config_version = 27;
    entry.m_era_age = 250ms;
    entry.m_replicas_hash = uint64_t{1} << 63;
    entry.m_replicas_age = 321ms;
    entry.m_crashes = {{uint64_t{1} << 63, "i-1/7", TimePoint()}};
    entry.m_crash_reports = {
        {{decide::CrashReport::Kind::kSuspect, ~uint64_t{0}, "i-1/7",
          uint64_t{1} << 63, true, TimePoint()},
         1200ms},
        {{decide::CrashReport::Kind::kBlocked, 7, "", 0, false, TimePoint()},
         60s}};
    EntryUpdate entry_with_count = entry;
    entry_with_count.m_remote_entries = 78;
    entry_with_count.m_evacuations = {{"a", {3, 5}, true},
                                      {"b", {3, 4}, false}};
    entry_with_count.m_declarations = {{"m", 2, {3, 1234ms}},
                                       {"m", 3, {3, 5s}}};
    DataCenterSummary summary;
    summary.m_data_center = "a";
    summary.m_sender = "e1";
    summary.m_sequence = 77;
    summary.m_relayed = true;
    summary.m_operator_revision = {3, 5};
    summary.m_operator_confirmed_at = 1234ms;
    summary.m_era_age = 250ms;
    summary.m_entries = {
        {"e1", Endpoint("10.0.0.1", 80), Endpoint("10.0.0.1", 81), true},
        {"e2", Endpoint("10.0.0.2", 80), Endpoint("10.0.0.2", 81), false}};
    summary.m_replicas = {{"i-1", 3, true, false, {5, 900}, 2},
                          {"i-2", 0, false, true, {0, 0}, 0}};
    summary.m_crashes = entry.m_crashes;
    summary.m_crash_reports = entry.m_crash_reports;
    entry_with_count.m_statements = {
        {"i-1", {RateLimitReport{2.5, 40ms}, std::nullopt}},
        {"i-2", {RateLimitReport{std::nullopt, 1s}, 1792}},
        {"i-3", {std::nullopt, 0}}};
    summary.m_statements = entry_with_count.m_statements;
    ReplicaUpdate replica;
    replica.m_replica = "i-1";
    replica.m_service = "pool";
    replica.m_version = 3;
    replica.m_closing = true;
    replica.m_loading = true;
    replica.m_other_entries_calls = {5, 900};
    replica.m_queued_calls = 3;
    replica.m_pace_percent = 250;
    replica.m_statements = {RateLimitReport{std::nullopt, 3s}, 1792};
    replica.m_rate_hold_off = 250ms;
    const ColdReport cold = {3s, decide::ColdSource::kAnswer, {2, 77}, 40ms};
    SlotRequestMessage ranked{"i-1", 9, 1290, false, 120ms, 250ms, {2, 100}};
    const SlotRequestMessage unranked = ranked;
    // Older processes, and deployments without ranks and shares, get the same
    // bytes as before.
    for (const char* field : {"rank", "organisation", "run_ms"})
      CPPUNIT_ASSERT(EncodeMessage(unranked).find(field) == std::string::npos);
    ranked.m_rank = 0;
    ranked.m_organisation = "";
    ranked.m_run_time = 80ms;
    SlotAnswer denied{9, false, false, replica};
    denied.m_expected_wait = 310ms;
    const Message messages[] = {
        entry,
        entry_with_count,
        summary,
        DataCenterSummary(),
        replica,
        CallUpdate{"i-1", {2, 100}, {}},
        CallUpdate{"i-1", {2, 100}, {RateLimitReport{1, 20ms}, 0}},
        CallUpdate{"i-1", {2, 100}, {std::nullopt, std::nullopt, cold, 1792}},
        TokenRequest{"i-1", 7, {0.3, 10ms}},
        TokenRequest{"i-1", 7, {0.3, 10ms}, cold, 1792},
        TokenAnswer{"i-1", 7, true, 0ms, std::nullopt, cold, 1792},
        TokenAnswer{"i-1", 7, true, 0ms, std::nullopt},
        TokenAnswer{"i-1", 8, false, 700ms, RateLimitReport{2.3, 5ms}},
        ChunkUpdate{"10.0.0.2", "m", 2, {0, 3, 47}},
        OriginFetchUpdate{"m", 2, {"10.0.0.2", {7, 9}, {8}}, {}},
        OriginFetchUpdate{"m",
                          4,
                          {"10.0.0.2", {7}, {}, decide::OriginStatus::kProbed},
                          {2, 3}},
        OriginFetchUpdate{
            "m", 4, {"10.0.0.2", {}, {}, decide::OriginStatus::kAnswers}, {}},
        SubscriptionRequest{true, true, 77, uint64_t{1} << 63, 85},
        SubscriptionRequest{false, true, {1, 7}, 85, 50, {"a", "b"}},
        SubscriptionRequest{
            false, true, {1, 7}, 85, 50, {}, {{2, 1234ms}, {3, 5s}}},
        SlotRequestMessage{"i-1", 9, 1290, false, 120ms, 250ms, {2, 100}},
        SlotAnswer{9, true, false, replica},
        SlotAnswer{9, false, true, replica},
        SlotWithdrawal{"i-1", 9},
        ranked,
        denied,
    };
    for (const Message& message : messages) {
      const std::string text = EncodeMessage(message);
      const auto decoded = CatchFailure([&] { return DecodeMessage(text); });
      CPPUNIT_ASSERT_MESSAGE(text, decoded.has_value());
      CPPUNIT_ASSERT_MESSAGE(text, *decoded == message);
    }
  }

  // Guards against calls being routed to replicas that don't exist, after an
  // entry forwarded a summary with truncated lists or fields of wrong types.
  // Such a summary must be rejected as a whole.
  void RejectsMalformedSummaries() {
    const std::string start =
        R"({"kind":"summary","data_center":"a","sender":"e1","number":1,)"
        R"("revision":1,"proof_ms":1,"crashes":[],)";
    const auto is_read = [&](const std::string& lists) {
      return CatchFailure([&] { return DecodeMessage(start + lists + "}"); })
          .has_value();
    };
    const std::string entry = R"(["e1","10.0.0.1:80","10.0.0.1:81",1])";
    const std::string replica = R"(["i-1",3,0,5,900,2])";
    CPPUNIT_ASSERT(
        is_read("\"entries\":[" + entry + "],\"replicas\":[" + replica + "]"));
    for (const char* bad :
         {R"(["e1","10.0.0.1:80","10.0.0.1:81"])", R"("e1")",
          R"(["e1","10.0.0.1:80",5,1])", R"(["e1","nowhere","10.0.0.1:81",1])"})
      CPPUNIT_ASSERT_MESSAGE(bad, !is_read(std::string("\"entries\":[") + bad +
                                           "],\"replicas\":[" + replica + "]"));
    for (const char* bad : {R"(["i-1",3,0,5,900])", R"(["i-1",3,0,-5,900,2])",
                            R"([1,3,0,5,900,2])", R"({"i-1":3})"})
      CPPUNIT_ASSERT_MESSAGE(bad, !is_read("\"entries\":[" + entry +
                                           "],\"replicas\":[" + bad + "]"));
    CPPUNIT_ASSERT(!is_read("\"entries\":[]"));
  }

  void DecodesOrRejectsAnyBytes() {
    const std::string good = EncodeMessage(
        SlotRequestMessage{"i-1", 9, 1290, true, 120ms, 250ms, {}});
    const bool held = rc::check("any bytes", [&](const std::string& noise) {
      std::string text = good;
      const size_t at = *rc::gen::inRange<size_t>(0, text.size());
      text.replace(at, std::min(noise.size(), text.size() - at), noise);
      CatchFailure([&] { return DecodeMessage(text); });
    });
    CPPUNIT_ASSERT(held);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageTest);

}  // namespace
}  // namespace verbenalead::links
