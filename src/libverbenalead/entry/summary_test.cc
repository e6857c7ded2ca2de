#include "entry/summary.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "base/boot_clock.h"
#include "entry/caller_addresses.h"
#include "entry/crash_blame.h"
#include "entry/peer_updates.h"
#include "links/message.h"

namespace verbenalead::entry {
namespace {

constexpr char kService[] = "pool";
/// Largest payload of a UDP datagram in bytes.
constexpr size_t kMaxDatagramBytes = 65507;

model::Replica Replica(const std::string& id, const std::string& data_center) {
  model::Replica replica;
  replica.m_id = id;
  replica.m_service = kService;
  replica.m_endpoint = Endpoint("10.0.1.1", 80);
  replica.m_data_center = data_center;
  replica.m_slots = 8;
  return replica;
}

/// An entry with a configuration and one replica in each of two data centres.
std::unique_ptr<EntryState> Entry(const std::string& host,
                                  const std::string& data_center) {
  EntryOptions options;
  options.m_own_address = {host, data_center, Endpoint("10.0.0.1", 80),
                           Endpoint("10.0.0.1", 81)};
  options.m_key_bound = 5s;
  auto state = std::make_unique<EntryState>(options);
  model::RoutingConfig config;
  model::Service service;
  service.m_name = kService;
  service.m_engine = model::EngineProfile();
  config.m_services.push_back(service);
  state->m_routes = std::make_shared<decide::RouteTable>(std::move(config));
  state->m_replicas_known = true;
  state->m_operator_revision.m_number = 5;
  state->m_store_clock.m_offset = Duration();
  decide::SetReplicas(GetOrCreateService(*state, kService).m_pool,
                      {Replica("i-a", "a"), Replica("i-b", "b")}, TimePoint(),
                      Now());
  return state;
}

decide::ReplicaState& At(EntryState& state, const std::string& replica) {
  return state.m_services.at(kService).m_pool.m_replicas.at(replica);
}

class SummaryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SummaryTest);
  CPPUNIT_TEST(ReportsLocalReplicasWithTheCallsOfAllEntries);
  CPPUNIT_TEST(LoadIsKnownInOtherDataCenters);
  CPPUNIT_TEST(OlderSummaryIsIgnored);
  CPPUNIT_TEST(DeadRemoteEntryIsNotOfferedToCallers);
  CPPUNIT_TEST(CrashIsKnownInOtherDataCenters);
  CPPUNIT_TEST(BlockedPartIsKnownInOtherDataCenters);
  CPPUNIT_TEST(CrashesOfSeveralEntriesAddUpElsewhere);
  CPPUNIT_TEST(ManyCrashesFitIntoADatagram);
  CPPUNIT_TEST(ProofsRenewTheLeaseInOtherDataCenters);
  CPPUNIT_TEST(RetryShareAssumesManyEntriesUntilCounted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_sender = Entry("a1", "a");
    m_receiver = Entry("b1", "b");
  }

  bool SendSummary(uint64_t number) {
    links::DataCenterSummary summary = SummaryOf(*m_sender, Now());
    summary.m_sequence = number;
    return ApplySummary(*m_receiver, summary, Now());
  }

  // An entry assigns calls to replicas of other data centres by the summary. If
  // the summary lacks calls of some entries, or the entry counts its own calls
  // twice, calls go to the wrong replicas and queue behind calls that the entry
  // didn't know of.
  void ReportsLocalReplicasWithTheCallsOfAllEntries() {
    At(*m_sender, "i-a").m_in_flight = 2;
    At(*m_sender, "i-a").m_other_entries_calls = 4;
    At(*m_sender, "i-a").m_unread_tokens = 100;
    At(*m_sender, "i-a").m_other_entries_unread_tokens = 900;
    At(*m_receiver, "i-a").m_in_flight = 1;
    At(*m_receiver, "i-a").m_unread_tokens = 300;
    At(*m_sender, "i-b").m_other_entries_calls = 7;
    CPPUNIT_ASSERT(SendSummary(1));
    CPPUNIT_ASSERT_EQUAL(5U, At(*m_receiver, "i-a").m_other_entries_calls);
    CPPUNIT_ASSERT_EQUAL(uint64_t{700},
                         At(*m_receiver, "i-a").m_other_entries_unread_tokens);
    // Replicas of the receiver's own data centre aren't part of the summary:
    // their targets report them.
    CPPUNIT_ASSERT_EQUAL(0U, At(*m_receiver, "i-b").m_other_entries_calls);
  }

  void LoadIsKnownInOtherDataCenters() {
    At(*m_sender, "i-a").m_loading_until = Now() + 1s;
    At(*m_sender, "i-a").m_weights = 2;
    CPPUNIT_ASSERT(SendSummary(1));
    CPPUNIT_ASSERT(At(*m_receiver, "i-a").m_loading_until > Now());
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, At(*m_receiver, "i-a").m_weights);
  }

  // Two relays deliver summaries of the same second in reversed order. If the
  // older one were applied, calls would go to a replica that is loading.
  void OlderSummaryIsIgnored() {
    At(*m_sender, "i-a").m_weights = 1;
    links::DataCenterSummary older = SummaryOf(*m_sender, Now());
    older.m_sequence = 1;
    At(*m_sender, "i-a").m_weights = 2;
    CPPUNIT_ASSERT(SendSummary(2));
    CPPUNIT_ASSERT(!ApplySummary(*m_receiver, older, Now()));
    CPPUNIT_ASSERT(!SendSummary(2));
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, At(*m_receiver, "i-a").m_weights);
    // A summary of the receiver's own data centre is ignored too.
    older.m_data_center = "b";
    older.m_sequence = 9;
    CPPUNIT_ASSERT(!ApplySummary(*m_receiver, older, Now()));
  }

  // Guards against directing callers to entries that have died. Entries of the
  // same data centre detect that and leave them out of the summary.
  void DeadRemoteEntryIsNotOfferedToCallers() {
    PeerEntry& peer = m_sender->m_peers["a2"];
    peer.m_address = {"a2", "a", Endpoint("10.0.0.2", 80),
                      Endpoint("10.0.0.2", 81)};
    peer.m_ready = true;
    peer.m_last_seen_at = Now();
    m_sender->m_lease.m_proved_at = BootNow();
    CPPUNIT_ASSERT(SendSummary(1));
    CPPUNIT_ASSERT_EQUAL(
        size_t{2},
        EntriesForCallers(*m_receiver, {"", "a", ""}, 64, Now()).size());
    peer.m_last_seen_at = Now() - 2s;
    CPPUNIT_ASSERT(SendSummary(2));
    CPPUNIT_ASSERT(!m_receiver->m_peers.at("a2").m_ready);
  }

  // A request that crashes replicas must not crash more of them in other data
  // centres. Crashes seen by entries of the same data centre are part of the
  // summary, each once.
  void CrashIsKnownInOtherDataCenters() {
    links::EntryUpdate update;
    update.m_address = {"a2", "a", Endpoint("10.0.0.2", 80),
                        Endpoint("10.0.0.2", 81)};
    update.m_crashes = {{5, "i-1/7", TimePoint()}, {5, "i-2/7", TimePoint()}};
    ApplyUpdate(*m_sender, update, Now());
    update.m_crashes.push_back({5, "i-3/7", TimePoint()});
    ApplyUpdate(*m_sender, update, Now());
    CPPUNIT_ASSERT_EQUAL(size_t{3},
                         SummaryOf(*m_sender, Now()).m_crashes.size());
    CPPUNIT_ASSERT(!decide::IsQuarantined(m_receiver->m_crashes, 5, Now()));
    CPPUNIT_ASSERT(SendSummary(1));
    CPPUNIT_ASSERT(decide::IsQuarantined(m_receiver->m_crashes, 5, Now()));
  }

  // A part that crashes replicas is blocked in all data centres, also by
  // entries that start later.
  void BlockedPartIsKnownInOtherDataCenters() {
    for (uint64_t i = 0; i < 3; ++i) {
      decide::RecordCrash(m_sender->m_causes, "i-" + std::to_string(i),
                          {i, {5}, true}, Now() - 1s + i * 100ms);
    }
    UpdateBlockedParts(*m_sender, Now());
    CPPUNIT_ASSERT(!decide::FindBlocked(m_receiver->m_causes, {5}, Now()));
    CPPUNIT_ASSERT(SendSummary(1));
    CPPUNIT_ASSERT(decide::FindBlocked(m_receiver->m_causes, {5}, Now()));
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         MakeEntryUpdate(*m_receiver).m_crash_reports.size());
  }

  // Three crashes that different entries of a data centre saw count together in
  // another one, also if no entry of the first has blocked the part yet.
  void CrashesOfSeveralEntriesAddUpElsewhere() {
    for (uint64_t i = 0; i < 3; ++i) {
      links::EntryUpdate update;
      update.m_address = {"a" + std::to_string(i + 2), "a",
                          Endpoint("10.0.0.2", 80), Endpoint("10.0.0.2", 81)};
      decide::CrashReport report;
      report.m_part = 5;
      report.m_incarnation = "i-" + std::to_string(i) + "/7";
      report.m_request = i;
      report.m_had_head = true;
      update.m_crash_reports = {{report, 250ms - i * 100ms}};
      ApplyUpdate(*m_sender, update, Now());
    }
    CPPUNIT_ASSERT(SendSummary(1));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, m_receiver->m_causes.m_crashed.size());
    UpdateBlockedParts(*m_receiver, Now() + 1s);
    CPPUNIT_ASSERT(decide::FindBlocked(m_receiver->m_causes, {5}, Now()));
  }

  // Thousands of calls break at once with their replicas. If the list of these
  // crashes exceeds a datagram, no summary can be sent and other data centres
  // treat this one as lost.
  void ManyCrashesFitIntoADatagram() {
    links::EntryUpdate update;
    update.m_address = {"a2", "a", Endpoint("10.0.0.2", 80),
                        Endpoint("10.0.0.2", 81)};
    for (uint64_t request = 0; request < 5000; ++request)
      update.m_crashes.push_back({request, "i-1/1790000000000", TimePoint()});
    ApplyUpdate(*m_sender, update, Now());
    m_sender->m_own_crashes = update.m_crashes;
    m_sender->m_own_crashes.push_back({7777, "i-2/7", Now() + 1s});
    for (uint64_t part = 1; part < 2000; ++part) {
      decide::RecordCrash(m_sender->m_causes, "i-1/1790000000000",
                          {~part, {~part}, true}, Now());
    }
    CollectCrashReports(*m_sender, Now());
    CPPUNIT_ASSERT(links::EncodeMessage(SummaryOf(*m_sender, Now())).size() <
                   kMaxDatagramBytes);
    CPPUNIT_ASSERT(links::EncodeMessage(MakeEntryUpdate(*m_sender)).size() <
                   kMaxDatagramBytes);
    CPPUNIT_ASSERT_EQUAL(uint64_t{7777},
                         SummaryOf(*m_sender, Now()).m_crashes.back().m_key);
  }

  // A data centre that has lost its connection to the store, but not to other
  // data centres, must not refuse calls with a key. A proof by another data
  // centre renews its lease too, if it has the same revision of the operator's
  // table.
  void ProofsRenewTheLeaseInOtherDataCenters() {
    m_sender->m_operator_confirmed_at = {0, BootNow()};
    CPPUNIT_ASSERT(!HasValidLease(*m_receiver));
    m_receiver->m_operator_revision.m_number = 4;
    CPPUNIT_ASSERT(SendSummary(1));
    CPPUNIT_ASSERT(!HasValidLease(*m_receiver));
    m_receiver->m_operator_revision.m_number = 5;
    CPPUNIT_ASSERT(SendSummary(2));
    CPPUNIT_ASSERT(HasValidLease(*m_receiver));
  }

  // A hundred entries restart at once and retry failed calls. Until an entry
  // knows how many there are, it must not claim the share of retries that it
  // would have among a few.
  void RetryShareAssumesManyEntriesUntilCounted() {
    CPPUNIT_ASSERT(MaxExistingEntries(*m_receiver) >= 1000);
    links::EntryUpdate update;
    update.m_address = {"b2", "b", Endpoint("10.0.0.2", 80),
                        Endpoint("10.0.0.2", 81)};
    update.m_remote_entries = 78;
    ApplyUpdate(*m_receiver, update, Now());
    CPPUNIT_ASSERT(MaxExistingEntries(*m_receiver) >= 80);
    CPPUNIT_ASSERT(MaxExistingEntries(*m_receiver) < 100);
  }

 private:
  std::unique_ptr<EntryState> m_sender;
  std::unique_ptr<EntryState> m_receiver;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SummaryTest);

}  // namespace
}  // namespace verbenalead::entry
