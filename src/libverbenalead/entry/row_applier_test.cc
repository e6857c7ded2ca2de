#include "entry/row_applier.h"

#include <cppunit/extensions/HelperMacros.h>

#include "base/boot_clock.h"
#include "entry/evacuation_rows.h"

namespace verbenalead::entry {
namespace {

platform::Row ReplicaRow(const std::string& id,
                         uint64_t revision,
                         const std::string& state = "ready") {
  platform::Row row;
  row.m_key = id;
  row.m_revision = {0, revision};
  row.m_value = R"({"service":"pool","address":"10.0.0.)" + id +
                R"(:80","zone":"a","slots":4,"state":")" + state + R"("})";
  return row;
}

platform::Row DeclarationRow(uint64_t revision) {
  return {"version/m", R"({"model":"m","version":2})", {0, revision}, false};
}

platform::Row EvacuationRow(uint64_t revision,
                            bool removed = false,
                            const std::string& data_center = "a") {
  return {
      "evacuate/" + data_center, removed ? "" : "{}", {0, revision}, removed};
}

platform::Rows Rows(uint64_t revision, std::vector<platform::Row> rows) {
  platform::Rows all;
  all.m_revision = {0, revision};
  all.m_rows = std::move(rows);
  return all;
}

class RowApplierTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RowApplierTest);
  CPPUNIT_TEST(AppliesRowsOfAnotherEntry);
  CPPUNIT_TEST(AnOlderListDoesNotBringBackALeavingReplica);
  CPPUNIT_TEST(ExpiredRowsAreKeptAfterARelay);
  CPPUNIT_TEST(BoundCountsFromTheDeclaration);
  CPPUNIT_TEST(ADeclarationOfUnknownAgeBindsSoonAfterAStart);
  CPPUNIT_TEST(DeclarationBetweenRequestsIsAsOldAsTheGap);
  CPPUNIT_TEST(AgesAreRelayedWithoutTheStoresClock);
  CPPUNIT_TEST(UndecodableRowAddsNoReplica);
  CPPUNIT_TEST(EvacuationIsReadFromTheStore);
  CPPUNIT_TEST(EndOfAnEvacuationIsPassedOn);
  CPPUNIT_TEST(EndThatAnotherEntryNeverKnewIsApplied);
  CPPUNIT_TEST(RowsAreKeptAfterAnUpdateToldOfThem);
  CPPUNIT_TEST(UnknownDataCentreIsIgnoredAndPassedOn);
  CPPUNIT_TEST(RowsOfAnotherWriterDisturbNoReplica);
  CPPUNIT_TEST(RowOfAnUnknownServiceTakesOverNoAddress);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    EntryOptions options;
    options.m_weights_bound = 8s;
    options.m_regions = {{"a", "east"}, {"b", "west"}};
    m_state = std::make_unique<EntryState>(options);
    m_intake = std::make_unique<RowApplier>(*m_state);
  }

  void AppliesRowsOfAnotherEntry() {
    m_intake->ApplyReplicaRows(Rows(5, {ReplicaRow("1", 5)}), true,
                               TimePoint());
    CPPUNIT_ASSERT(m_intake->ApplyRelayedReplicaRows(
        {Rows(8, {ReplicaRow("1", 5), ReplicaRow("2", 8)}),
         {},
         std::nullopt,
         std::nullopt}));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Replicas().size());
    CPPUNIT_ASSERT_EQUAL(uint64_t{8}, m_intake->replicas_revision().m_number);
    // Rows are passed on as they were received.
    CPPUNIT_ASSERT(m_intake->replica_rows().at("2") == ReplicaRow("2", 8));
  }

  // Guards against calls to a replica that is about to exit: this entry has
  // read from the store that the replica is leaving, and then fetches an older
  // list from another entry. An older list must not be applied.
  void AnOlderListDoesNotBringBackALeavingReplica() {
    m_intake->ApplyReplicaRows(Rows(5, {ReplicaRow("1", 5)}), true,
                               TimePoint());
    m_intake->ApplyReplicaRows(Rows(9, {ReplicaRow("1", 9, "draining")}), false,
                               TimePoint());
    CPPUNIT_ASSERT(!m_intake->ApplyRelayedReplicaRows(
        {Rows(7, {ReplicaRow("1", 5)}), {}, std::nullopt, std::nullopt}));
    CPPUNIT_ASSERT(Replicas().at("1").m_replica.m_leaving);
  }

  // Guards against a service without replicas: the store returns, and the entry
  // that reads it finds no rows yet because they expired, and keeps its
  // replicas for two seconds. An entry that fetches its list must keep them as
  // long.
  void ExpiredRowsAreKeptAfterARelay() {
    m_intake->ApplyReplicaRows(Rows(5, {ReplicaRow("1", 5)}), true,
                               TimePoint());
    m_intake->ApplyRelayedReplicaRows(
        {Rows(8, {}), {}, Duration(100ms), std::nullopt});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Replicas().size());
    decide::RemoveExpiredReplicas(m_state->m_services.at("pool").m_pool,
                                  Now() + 3s);
    CPPUNIT_ASSERT(Replicas().empty());
  }

  // Guards against calls starting on older weights after the bound: this entry
  // received a declaration 3 s late over a saturated link. The relayed rows
  // carry the age of the declaration, and the bound counts from the
  // declaration.
  void BoundCountsFromTheDeclaration() {
    links::RelayedRows relayed = {
        Rows(7, {DeclarationRow(7)}), {}, std::nullopt, std::nullopt};
    relayed.m_max_ages["version/m"] = 3s;
    m_intake->ApplyRelayedOperatorRows(relayed);
    const decide::DeclaredVersions& versions = m_state->m_weights.at("m");
    const Duration left = m_state->m_options.m_weights_bound - 300ms - 3s;
    CPPUNIT_ASSERT_EQUAL(uint64_t{0},
                         decide::Binding(versions, Now() + left - 500ms));
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, decide::Binding(versions, Now() + left));
  }

  // Guards against calls starting on older weights 7 s after their bound: an
  // entry was restarted and fetched the rows from another one that doesn't have
  // the age of the declaration. It must not be treated as new.
  void ADeclarationOfUnknownAgeBindsSoonAfterAStart() {
    m_intake->ApplyRelayedOperatorRows(
        {Rows(7, {DeclarationRow(7)}), {}, std::nullopt, std::nullopt});
    const decide::DeclaredVersions& versions = m_state->m_weights.at("m");
    CPPUNIT_ASSERT_EQUAL(uint64_t{2},
                         decide::Binding(versions, Now() + 2600ms));
  }

  // Guards against calls starting on older weights after their bound: this
  // entry sent the store no request for a second, during which they were
  // declared.
  void DeclarationBetweenRequestsIsAsOldAsTheGap() {
    const Duration now = BootNow();
    TakeAnswer(now - 2s, now - 2s, {});
    TakeAnswer(now - 1s, now - 1s, {DeclarationRow(7)});
    const decide::DeclaredVersions& versions = m_state->m_weights.at("m");
    const Duration left = m_state->m_options.m_weights_bound - 300ms - 2s;
    CPPUNIT_ASSERT_EQUAL(uint64_t{0},
                         decide::Binding(versions, Now() + left - 500ms));
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, decide::Binding(versions, Now() + left));
  }

  // Guards against entries treating an old declaration as new when they fetch
  // it from an entry that was restarted. The store has not answered that entry
  // yet, so it can't give the age in the store's time. It gives the age by its
  // own clock.
  void AgesAreRelayedWithoutTheStoresClock() {
    links::RelayedRows relayed = {
        Rows(7, {DeclarationRow(7)}), {}, std::nullopt, std::nullopt};
    relayed.m_max_ages["version/m"] = 3s;
    m_intake->ApplyRelayedOperatorRows(relayed);
    CPPUNIT_ASSERT(!m_state->m_store_clock.m_offset);
    const Duration age = BootNow() - m_intake->seen().at("version/m");
    CPPUNIT_ASSERT(age >= 3s && age < 4s);
  }

  void UndecodableRowAddsNoReplica() {
    platform::Row bad = ReplicaRow("2", 6);
    bad.m_value = "\xff";
    m_intake->ApplyReplicaRows(Rows(6, {ReplicaRow("1", 5), bad}), true,
                               TimePoint());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Replicas().size());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_intake->replica_rows().size());
  }

  // Guards against calls to an evacuated data centre, and against one that gets
  // no calls after the end: the row and its removal arrive as changes or with
  // the whole table, and services are found before and after.
  void EvacuationIsReadFromTheStore() {
    m_intake->ApplyReplicaRows(Rows(1, {ReplicaRow("1", 1)}), true,
                               TimePoint());
    m_intake->ApplyOperatorRows(Rows(5, {EvacuationRow(5)}), true);
    CPPUNIT_ASSERT(Evacuated("pool") == std::set<std::string>{"a"});
    CPPUNIT_ASSERT(Evacuated("later") == std::set<std::string>{"a"});
    m_intake->ApplyOperatorRows(Rows(6, {EvacuationRow(6, true)}), false);
    CPPUNIT_ASSERT(Evacuated("pool").empty());
    CPPUNIT_ASSERT(decide::EvacuationEndedAt(m_state->m_evacuations, "a"));
    m_intake->ApplyOperatorRows(Rows(7, {EvacuationRow(7)}), false);
    CPPUNIT_ASSERT(!Evacuated("pool").empty());
    m_intake->ApplyOperatorRows(Rows(9, {}), true);
    CPPUNIT_ASSERT(Evacuated("pool").empty());
  }

  // Guards against a data centre that gets no calls from entries that have
  // another one read for them. An older row of a third entry changes nothing.
  void EndOfAnEvacuationIsPassedOn() {
    EntryState reader(m_state->m_options);
    RowApplier rows(reader);
    rows.ApplyOperatorRows(Rows(5, {EvacuationRow(5)}), true);
    m_intake->ApplyRelayedOperatorRows(Relayed(rows, 5));
    CPPUNIT_ASSERT(Evacuated("pool") == std::set<std::string>{"a"});
    const links::RelayedRows older = Relayed(rows, 5);
    rows.ApplyOperatorRows(Rows(6, {EvacuationRow(6, true)}), false);
    CPPUNIT_ASSERT(reader.m_operator_revision > m_state->m_operator_revision);
    m_intake->ApplyRelayedOperatorRows(Relayed(rows, 6));
    CPPUNIT_ASSERT(Evacuated("pool").empty());
    CPPUNIT_ASSERT(m_intake->operator_rows().at("evacuate/a") ==
                   EvacuationRow(6, true));
    m_intake->ApplyRelayedOperatorRows(older);
    CPPUNIT_ASSERT(Evacuated("pool").empty());
  }

  // Guards against an evacuation that never ends here: the entry that reads has
  // started after the removal.
  void EndThatAnotherEntryNeverKnewIsApplied() {
    m_intake->ApplyOperatorRows(Rows(5, {EvacuationRow(5)}), true);
    EntryState reader(m_state->m_options);
    RowApplier rows(reader);
    rows.ApplyOperatorRows(Rows(9, {DeclarationRow(8)}), true);
    m_intake->ApplyRelayedOperatorRows(Relayed(rows, 9));
    CPPUNIT_ASSERT(Evacuated("pool").empty());
  }

  // Guards against an entry that fetches the rows time and again, or passes on
  // an evacuation that has ended, because an update told of the end before.
  void RowsAreKeptAfterAnUpdateToldOfThem() {
    m_intake->ApplyOperatorRows(Rows(5, {EvacuationRow(5)}), true);
    ApplyEvacuationReports(*m_state, {{"a", {0, 6}, false}}, "e2");
    CPPUNIT_ASSERT(Evacuated("pool").empty());
    CPPUNIT_ASSERT(m_state->m_operator_revision == model::Revision({0, 5}));
    m_intake->ApplyOperatorRows(Rows(6, {EvacuationRow(6, true)}), false);
    CPPUNIT_ASSERT(m_state->m_operator_revision == model::Revision({0, 6}));
    CPPUNIT_ASSERT(m_intake->operator_rows().at("evacuate/a").m_deleted);
  }

  void UnknownDataCentreIsIgnoredAndPassedOn() {
    const platform::Row unknown = EvacuationRow(5, false, "nowhere");
    m_intake->ApplyOperatorRows(Rows(5, {unknown, EvacuationRow(4)}), true);
    CPPUNIT_ASSERT(Evacuated("pool") == std::set<std::string>{"a"});
    CPPUNIT_ASSERT(m_intake->operator_rows().at("evacuate/nowhere") == unknown);
  }

  // Guards against a row that another program wrote, whatever it holds, which
  // takes replicas out of use or adds one.
  void RowsOfAnotherWriterDisturbNoReplica() {
    const std::string good = ReplicaRow("1", 5).m_value;
    const std::vector<std::string> values = {
        "",
        "\xff\xfe\x00",
        "[]",
        "null",
        R"({"service":"pool"})",
        R"({"service":7,"address":"10.0.0.1:80","zone":"a","slots":4,)"
        R"("state":"ready"})",
        R"({"service":"pool","address":"10.0.0.1:80","zone":"a","slots":-4,)"
        R"("state":"ready"})",
        R"({"service":"pool","address":"10.0.0.1:80","zone":"a","slots":4,)"
        R"("state":"asleep"})",
        R"({"service":"pool","address":"10.0.0.1:80","zone":"a","slots":4,)"
        R"("state":"ready","born":"now"})",
        R"({"service":"pool","address":"10.0.0.1:80","zone":"a","slots":4,)"
        R"("state":"ready","models":[{"name":7}]})"};
    std::vector<platform::Row> rows = {ReplicaRow("1", 5), ReplicaRow("2", 6)};
    for (const std::string& value : values) {
      platform::Row row = ReplicaRow("x" + std::to_string(rows.size()), 7);
      row.m_value = value;
      rows.push_back(std::move(row));
    }
    m_intake->ApplyReplicaRows(Rows(7, rows), true, TimePoint());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Replicas().size());
    std::mt19937_64 random(1);
    CPPUNIT_ASSERT(decide::AcquireSlot(m_state->m_services.at("pool").m_pool,
                                       {}, Now(), random));
    // Another replica's row that becomes unreadable takes only that one out.
    platform::Row spoilt = ReplicaRow("2", 9);
    spoilt.m_value = "{";
    m_intake->ApplyReplicaRows(Rows(9, {spoilt}), false, TimePoint());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Replicas().size());
    CPPUNIT_ASSERT(Replicas().contains("1"));
  }

  // Guards against a newer row of another program that names the address of a
  // replica, which then counts as gone.
  void RowOfAnUnknownServiceTakesOverNoAddress() {
    platform::Row foreign = ReplicaRow("1", 9);
    foreign.m_key = "x";
    foreign.m_value.replace(foreign.m_value.find("pool"), 4, "other");
    model::RoutingConfig config;
    config.m_version = 1;
    config.m_services.emplace_back().m_name = "pool";
    m_state->m_routes = std::make_shared<decide::RouteTable>(config);
    m_intake->ApplyReplicaRows(Rows(9, {ReplicaRow("1", 5), foreign}), true,
                               TimePoint());
    CPPUNIT_ASSERT(Replicas().contains("1"));
    CPPUNIT_ASSERT(!m_state->m_services.contains("other"));
    // The service is added.
    config.m_version = 2;
    config.m_services.emplace_back().m_name = "other";
    m_state->m_routes = std::make_shared<decide::RouteTable>(config);
    m_intake->ReviewGoneReplicas();
    CPPUNIT_ASSERT(
        m_state->m_services.at("other").m_pool.m_replicas.contains("x"));
  }

 private:
  const std::set<std::string>& Evacuated(const std::string& service) {
    return GetOrCreateService(*m_state, service)
        .m_pool.m_evacuated_data_centers;
  }

  /// The rows of another entry as they arrive here.
  static links::RelayedRows Relayed(const RowApplier& rows, uint64_t revision) {
    return links::DecodeRows(
               links::EncodeRows(rows.operator_rows(), {0, revision}, {}), {})
        .value();
  }

  /// Applies an answer of the store, whose clock is this host's.
  void TakeAnswer(Duration requested_at,
                  Duration answered_at,
                  std::vector<platform::Row> rows) {
    platform::Rows answer = Rows(7, std::move(rows));
    answer.m_asked_at = requested_at;
    answer.m_store_time = answered_at;
    m_intake->ApplyOperatorRows(answer, m_first_answer);
    m_first_answer = false;
  }

  const std::map<std::string, decide::ReplicaState>& Replicas() const {
    return m_state->m_services.at("pool").m_pool.m_replicas;
  }

  std::unique_ptr<EntryState> m_state;
  std::unique_ptr<RowApplier> m_intake;
  bool m_first_answer = true;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RowApplierTest);

}  // namespace
}  // namespace verbenalead::entry
