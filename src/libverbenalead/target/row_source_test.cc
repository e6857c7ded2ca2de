#include "target/row_source.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>

#include "base/base64.h"
#include "base/deflate.h"
#include "decide/placement/live_replicas.h"
#include "links/message.h"
#include "platform/names.h"
#include "target/routed_client.h"

namespace verbenalead::target {
namespace {

constexpr char kConfig[] =
    R"({"version":7,"services":[{"name":"pool","engine":{"slots":16,)"
    R"("chunks":48,"models":[{"name":"m"}]}}]})";
constexpr char kConfigWithoutEngine[] =
    R"({"version":7,"services":[{"name":"pool","engine":null}]})";
constexpr char kDeclaration[] = R"({"model":"m","version":2})";
constexpr char kReplica[] =
    R"({"service":"pool","address":"10.0.1.1:80","zone":"a","slots":4,)"
    R"("state":"ready"})";

class RowSourceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RowSourceTest);
  CPPUNIT_TEST(ReadsRowsFromLocalEntryAfterStart);
  CPPUNIT_TEST(SkipsEntryWithoutRows);
  CPPUNIT_TEST(DoesNotReadStoreWithoutEngine);
  CPPUNIT_TEST(ReadsNewWeightsFromAnnouncingEntry);
  CPPUNIT_TEST(DoesNotReadKnownReplicasAgain);
  CPPUNIT_TEST(AVersionThatNoRowShowedIsPlannedFor);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    TargetOptions options;
    options.m_data_center = "a";
    options.m_service = "pool";
    m_state = std::make_unique<TargetState>(options);
    m_http = std::make_unique<RoutedClient>();
    m_store = std::make_unique<platform::Store>(*m_http, Endpoint("store", 1),
                                                m_state->m_metrics);
    m_io = std::make_unique<boost::asio::io_context>();
    m_rows = std::make_unique<RowSource>(m_io->get_executor(), *m_state,
                                         *m_store, *m_http);
    m_http->m_answers["store/rows-get"] = EntryRows({"10.0.0.1"});
  }

  // Guards against callers without a response for 20 s after all processes were
  // killed, because each host reads 390 KB from the store over one link. A
  // target reads its rows from an entry of its data centre, and from the store
  // only the list of entries there.
  void ReadsRowsFromLocalEntryAfterStart() {
    PrepareEntry("10.0.0.1", 5, 3s);
    m_rows->Start();
    m_io->run_for(100ms);
    CPPUNIT_ASSERT(m_state->m_engine);
    CPPUNIT_ASSERT_EQUAL(48U, m_state->m_engine->m_chunks);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_state->m_replicas.size());
    // Loads are scheduled from the time of the declaration, not from the time
    // at which this process learns of it.
    CPPUNIT_ASSERT(Now() - m_state->m_declared.at(2) >= Duration(3s));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                         std::count(m_http->m_asked.begin(),
                                    m_http->m_asked.end(), "store/rows-get"));
    const std::string& query = m_http->m_targets.front();
    CPPUNIT_ASSERT(query.find(platform::kEntryTable) != std::string::npos);
    CPPUNIT_ASSERT(query.find("part=a") != std::string::npos);
  }

  void SkipsEntryWithoutRows() {
    m_http->m_answers["store/rows-get"] = EntryRows({"10.0.0.1", "10.0.0.2"});
    PrepareEntry("10.0.0.2", 5, 0s);
    m_rows->Start();
    m_io->run_for(500ms);
    CPPUNIT_ASSERT(m_state->m_engine);
  }

  // Target processes whose replica has no engine get no announcements. Guards
  // against a version in which they read the operator's and the replicas' table
  // from the store: after a start of all processes, these reads took up the
  // links that entries need, and entries learned the tables late.
  void DoesNotReadStoreWithoutEngine() {
    PrepareEntry("10.0.0.1", 5, 0s, kConfigWithoutEngine);
    m_rows->Start();
    m_io->run_for(6s);
    CPPUNIT_ASSERT(m_state->m_config_version > 0);
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                         std::count(m_http->m_asked.begin(),
                                    m_http->m_asked.end(), "store/rows-get"));
    CPPUNIT_ASSERT_EQUAL(
        std::ptrdiff_t{0},
        std::count(m_http->m_asked.begin(), m_http->m_asked.end(),
                   "10.0.0.1/v1/replica-rows"));
  }

  void ReadsNewWeightsFromAnnouncingEntry() {
    PrepareEntry("10.0.0.1", 5, 0s);
    m_rows->Start();
    m_io->run_for(400ms);
    m_http->m_asked.clear();
    links::SubscriptionRequest request;
    request.m_same_data_center = true;
    request.m_weights_revision = {0, 5};
    request.m_replicas_hash = 0;
    m_rows->HandleAnnouncement(Endpoint("10.0.0.1", 2), request);
    m_io->restart();
    m_io->run_for(20ms);
    // Only the list of replicas differs from the one known here.
    CPPUNIT_ASSERT(m_http->m_asked ==
                   std::vector<std::string>({"10.0.0.1/v1/replica-rows"}));
    m_http->m_asked.clear();
    request.m_weights_revision = {0, 6};
    m_rows->HandleAnnouncement(Endpoint("10.0.0.1", 2), request);
    m_io->restart();
    m_io->run_for(20ms);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1/v1/target-rows"),
                         m_http->m_asked.at(0));
  }

  // Guards against hosts that learn of new weights late, because all hosts of a
  // data centre read the list of replicas with them, 80 KB each over the link
  // of one entry. A list that is known already must not be read again.
  void DoesNotReadKnownReplicasAgain() {
    PrepareEntry("10.0.0.1", 5, 0s);
    m_rows->Start();
    m_io->run_for(400ms);
    m_http->m_asked.clear();
    links::SubscriptionRequest request;
    request.m_same_data_center = true;
    request.m_weights_revision = {0, 6};
    request.m_replicas_hash = decide::HashOf(m_state->m_replicas);
    m_rows->HandleAnnouncement(Endpoint("10.0.0.1", 2), request);
    m_io->restart();
    m_io->run_for(20ms);
    CPPUNIT_ASSERT(m_http->m_asked ==
                   std::vector<std::string>({"10.0.0.1/v1/target-rows"}));
  }

  // Guards against oldest weights that are still loaded when they are barred: a
  // host that started after two declarations plans its load by the second one.
  void AVersionThatNoRowShowedIsPlannedFor() {
    m_state->m_engine.emplace();
    m_state->m_declared[3] = Now() - 1s;
    links::SubscriptionRequest request;
    request.m_declared = {{2, 6s}, {3, 2s}};
    m_rows->HandleAnnouncement(Endpoint("10.0.0.1", 2), request);
    // A report that was under way for longer changes nothing.
    request.m_declared = {{2, 5s}, {3, 1500ms}};
    m_rows->HandleAnnouncement(Endpoint("10.0.0.1", 2), request);
    CPPUNIT_ASSERT(AgeOf(2) >= 6s && AgeOf(2) < 7s);
    CPPUNIT_ASSERT(AgeOf(3) >= 2s && AgeOf(3) < 3s);
  }

 private:
  Duration AgeOf(uint64_t version) const {
    return Now() - m_state->m_declared.at(version);
  }

  /// The store's response to a read of the table of entries.
  static wire::Response EntryRows(const std::vector<std::string>& hosts) {
    std::string rows;
    for (const std::string& host : hosts) {
      links::EntryUpdate update;
      update.m_address = {host, "a", Endpoint(host, 1), Endpoint(host, 2)};
      rows += std::string(rows.empty() ? "" : ",") + R"({"key":")" + host +
              R"(","ver":1,"value":")" +
              EncodeBase64(links::EncodeMessage(update)) + "\"}";
    }
    return wire::JsonResponse(
        200, R"({"ver":9,"now_ms":1000,"rows":[)" + rows + "]}");
  }

  /// Prepares the responses of the entry on `host`, with a declaration of
  /// weights that is `age` old.
  void PrepareEntry(const std::string& host,
                    uint64_t revision,
                    Duration age,
                    const std::string& config = kConfig) {
    const std::map<std::string, platform::Row> operator_rows = {
        {"config", {"config", config, {0, 1}, false}},
        {"version/m", {"version/m", kDeclaration, {0, revision}, false}}};
    const links::RelayMetadata facts = {100s, 100s + age, std::nullopt,
                                        std::nullopt};
    m_http->m_answers[host + links::kTargetRowsPath] =
        wire::Response(200, links::EncodeRelayMetadata(facts),
                       Deflate(links::EncodeRows(operator_rows, {0, revision},
                                                 {{"version/m", 100s}})));
    m_http->m_answers[host + links::kReplicaRowsPath] = wire::Response(
        200, links::EncodeRelayMetadata(facts),
        Deflate(links::EncodeRows({{"i-1", {"i-1", kReplica, {0, 3}, false}}},
                                  {0, 3}, {})));
  }

  std::unique_ptr<TargetState> m_state;
  std::unique_ptr<RoutedClient> m_http;
  std::unique_ptr<platform::Store> m_store;
  std::unique_ptr<boost::asio::io_context> m_io;
  std::unique_ptr<RowSource> m_rows;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RowSourceTest);

}  // namespace
}  // namespace verbenalead::target
