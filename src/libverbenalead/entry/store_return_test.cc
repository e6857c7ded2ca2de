#include "entry/store_return.h"

#include <cppunit/extensions/HelperMacros.h>

#include "base/boot_clock.h"
#include "entry/peer_updates.h"
#include "entry/row_applier.h"
#include "entry/summary.h"

namespace verbenalead::entry {
namespace {

EntryOptions OptionsOf(const std::string& host) {
  EntryOptions options;
  options.m_own_address = {host, "a", Endpoint("127.0.0.1", 1),
                           Endpoint("127.0.0.1", 2)};
  options.m_key_bound = 5s;
  options.m_weights_bound = 8s;
  return options;
}

platform::Row ConfigRow(model::Revision revision, uint64_t version) {
  return {"config",
          R"({"version":)" + std::to_string(version) +
              R"(,"routes":[],"services":[],"tenants":[]})",
          revision, false};
}

platform::Row WeightsRow(model::Revision revision, uint64_t version) {
  return {"version/m",
          R"({"model":"m","version":)" + std::to_string(version) + "}",
          revision, false};
}

platform::Row EvacuationRow(model::Revision revision) {
  return {"evacuate/a", "{}", revision, false};
}

platform::Row ReplicaRow(const std::string& id,
                         model::Revision revision,
                         const std::string& state = "ready") {
  return {id,
          R"({"service":"pool","address":"10.0.0.)" + id +
              R"(:80","zone":"a","slots":4,"state":")" + state + R"("})",
          revision, false};
}

platform::Rows Answer(model::Revision revision,
                      std::vector<platform::Row> rows) {
  platform::Rows answer;
  answer.m_revision = revision;
  answer.m_rows = std::move(rows);
  answer.m_asked_at = answer.m_store_time = BootNow();
  return answer;
}

struct Entry {
  explicit Entry(const std::string& host)
      : m_state(OptionsOf(host)), m_rows(m_state) {}

  void Read(platform::Rows rows, bool whole = true) {
    m_rows.ApplyOperatorRows(rows, whole);
  }
  void ReadReplicas(platform::Rows rows, bool whole = true) {
    m_rows.ApplyReplicaRows(rows, whole, TimePoint());
  }
  bool UsesReplica(const std::string& id) const {
    const auto service = m_state.m_services.find("pool");
    if (service == m_state.m_services.end())
      return false;
    const auto found = service->second.m_pool.m_replicas.find(id);
    return found != service->second.m_pool.m_replicas.end() &&
           !found->second.m_known.m_leaving;
  }

  bool IsEvacuated() const {
    return m_state.m_evacuated_data_centers.contains("a");
  }
  /// Makes the store's return so long ago that its next proof counts.
  void SettleReturn() {
    const Duration since = BootNow() - decide::kWrittenAgainWithin - 1s;
    m_state.m_store_era.m_since = since;
    m_state.m_lease.m_proved_at = since - 1s;
  }

  EntryState m_state;
  RowApplier m_rows;
};

class StoreReturnTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreReturnTest);
  CPPUNIT_TEST(ChangesWithLowerNumbersAreInForceAfterAReturn);
  CPPUNIT_TEST(RelayedListsWithLowerNumbersAreAppliedAfterAReturn);
  CPPUNIT_TEST(RowsOfTheCopyDoNotReplaceNewerOnes);
  CPPUNIT_TEST(ALeavingReplicaStaysLeavingAfterAReturn);
  CPPUNIT_TEST(AGoneReplicaIsNotBroughtBackByTheCopy);
  CPPUNIT_TEST(AReplicaThatTheCopyLacksIsKeptForAWhile);
  CPPUNIT_TEST(LateAnswersOfTheOlderEraAreIgnored);
  CPPUNIT_TEST(AnEntryThatStartsGetsTheNewerConfigurationOfOthers);
  CPPUNIT_TEST(AnEntryThatStartsAfterAReturnWaitsForLostChanges);
  CPPUNIT_TEST(EntriesThatAllStartAfterAReturnWaitForLostChanges);
  CPPUNIT_TEST(ProofsOfTheCopyDoNotRenewTheLease);
  CPPUNIT_TEST(AFollowerDatesProofsOfTheNewEra);
  CPPUNIT_TEST(EntriesThatStateNoEraAreNotFollowed);
  CPPUNIT_TEST(AnEvacuationMissingFromTheCopyHoldsForAWhile);
  CPPUNIT_TEST(AnEvacuationWrittenAgainHolds);
  CPPUNIT_TEST(AnEntryThatStartsAfterAReturnLearnsOfEvacuations);
  CPPUNIT_TEST(AnEvacuationOfTheCopyHoldsUntilItIsRemoved);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against changes that are never in force after the store came back.
  void ChangesWithLowerNumbersAreInForceAfterAReturn() {
    Entry entry("e1");
    entry.Read(Answer({1, 500}, {ConfigRow({1, 500}, 23)}));
    entry.Read(Answer({2, 30}, {ConfigRow({2, 20}, 19)}));
    entry.Read(Answer({2, 36}, {ConfigRow({2, 36}, 27)}), false);
    CPPUNIT_ASSERT_EQUAL(uint64_t{27}, ConfigVersion(entry.m_state));
    CPPUNIT_ASSERT(entry.m_state.m_operator_revision ==
                   model::Revision({2, 36}));
  }

  // Guards against calls at a leaving replica by the entry that had read the
  // store before, whose own list has the highest number.
  void RelayedListsWithLowerNumbersAreAppliedAfterAReturn() {
    Entry entry("e1");
    entry.ReadReplicas(Answer({1, 500}, {ReplicaRow("1", {1, 500})}));
    CPPUNIT_ASSERT(entry.m_rows.ApplyRelayedReplicaRows(
        {Answer({2, 36}, {ReplicaRow("1", {2, 36}, "draining")}),
         {},
         std::nullopt,
         std::nullopt}));
    CPPUNIT_ASSERT(!entry.UsesReplica("1"));
  }

  void RowsOfTheCopyDoNotReplaceNewerOnes() {
    Entry entry("e1");
    entry.Read(
        Answer({1, 500}, {ConfigRow({1, 500}, 23), WeightsRow({1, 400}, 4)}));
    const Duration declared = entry.m_rows.seen().at("version/m");
    entry.Read(
        Answer({2, 30}, {ConfigRow({2, 20}, 19), WeightsRow({2, 10}, 3)}));
    CPPUNIT_ASSERT_EQUAL(uint64_t{23}, ConfigVersion(entry.m_state));
    CPPUNIT_ASSERT_EQUAL(uint64_t{4},
                         decide::Newest(entry.m_state.m_weights.at("m")));
    // Others get the newer values, too, and the bound counts from the first
    // declaration.
    CPPUNIT_ASSERT_EQUAL(ConfigRow({2, 20}, 23).m_value,
                         entry.m_rows.operator_rows().at("config").m_value);
    entry.Read(Answer({2, 31}, {WeightsRow({2, 31}, 4)}), false);
    CPPUNIT_ASSERT(entry.m_rows.seen().at("version/m") == declared);
  }

  void ALeavingReplicaStaysLeavingAfterAReturn() {
    Entry entry("e1");
    entry.ReadReplicas(
        Answer({1, 500}, {ReplicaRow("1", {1, 500}, "draining")}));
    entry.ReadReplicas(Answer({2, 30}, {ReplicaRow("1", {2, 20})}));
    CPPUNIT_ASSERT(!entry.UsesReplica("1"));
  }

  void AGoneReplicaIsNotBroughtBackByTheCopy() {
    Entry entry("e1");
    entry.ReadReplicas(Answer(
        {1, 500}, {ReplicaRow("1", {1, 400}), ReplicaRow("2", {1, 410})}));
    platform::Row removed = ReplicaRow("1", {1, 501});
    removed.m_deleted = true;
    entry.ReadReplicas(Answer({1, 501}, {removed}), false);
    entry.ReadReplicas(
        Answer({2, 30}, {ReplicaRow("1", {2, 20}), ReplicaRow("2", {2, 21})}));
    CPPUNIT_ASSERT(!entry.UsesReplica("1"));
    CPPUNIT_ASSERT(entry.UsesReplica("2"));
    // It lives: its row is written again.
    entry.ReadReplicas(Answer({2, 31}, {ReplicaRow("1", {2, 31})}), false);
    CPPUNIT_ASSERT(entry.UsesReplica("1"));
  }

  // Guards against a service without replicas: all have started since the copy.
  void AReplicaThatTheCopyLacksIsKeptForAWhile() {
    Entry entry("e1");
    entry.ReadReplicas(Answer({1, 500}, {ReplicaRow("1", {1, 500})}));
    entry.ReadReplicas(Answer({2, 30}, {}));
    CPPUNIT_ASSERT(entry.UsesReplica("1"));
    decide::RemoveExpiredReplicas(entry.m_state.m_services.at("pool").m_pool,
                                  Now() + 3s);
    CPPUNIT_ASSERT(!entry.UsesReplica("1"));
  }

  void LateAnswersOfTheOlderEraAreIgnored() {
    Entry entry("e1");
    entry.Read(Answer({2, 36}, {ConfigRow({2, 36}, 27)}));
    entry.ReadReplicas(Answer({2, 36}, {ReplicaRow("1", {2, 36})}));
    entry.ReadReplicas(Answer({1, 500}, {}));
    CPPUNIT_ASSERT(entry.UsesReplica("1"));
    CPPUNIT_ASSERT(!entry.m_rows.ApplyRelayedReplicaRows(
        {Answer({1, 900}, {}), {}, std::nullopt, std::nullopt}));
    CPPUNIT_ASSERT(entry.UsesReplica("1"));
  }

  // Guards against an older configuration at an entry that starts before lost
  // changes are written again.
  void AnEntryThatStartsGetsTheNewerConfigurationOfOthers() {
    Entry other("e2");
    other.Read(Answer({1, 500}, {ConfigRow({1, 500}, 23)}));
    other.Read(Answer({2, 30}, {ConfigRow({2, 20}, 19)}));
    other.m_state.m_replicas_known = true;
    Entry starting("e1");
    starting.Read(Answer({2, 30}, {ConfigRow({2, 20}, 19)}));
    ApplyUpdate(starting.m_state, MakeEntryUpdate(other.m_state), Now());
    const PeerEntry* newer = PickNewerPeer(starting.m_state, Now());
    CPPUNIT_ASSERT(newer);
    CPPUNIT_ASSERT(!decide::IsSettled(starting.m_state.m_store_era, BootNow()));
    links::RelayedRows relayed;
    relayed.m_rows = Answer({2, 30}, {});
    for (const auto& [key, row] : other.m_rows.operator_rows())
      relayed.m_rows.m_rows.push_back(row);
    starting.m_rows.ApplyRelayedOperatorRows(relayed);
    CPPUNIT_ASSERT_EQUAL(uint64_t{23}, ConfigVersion(starting.m_state));
    CPPUNIT_ASSERT(!PickNewerPeer(starting.m_state, Now()));
  }

  // Guards against calls with a removed key at an entry that starts right after
  // the return, in a data centre without another entry.
  void AnEntryThatStartsAfterAReturnWaitsForLostChanges() {
    Entry other("e2");
    other.Read(Answer({1, 500}, {ConfigRow({1, 500}, 23)}));
    other.Read(Answer({2, 30}, {ConfigRow({2, 20}, 19)}));
    Entry starting("e1");
    starting.Read(Answer({2, 30}, {ConfigRow({2, 20}, 19)}));
    CPPUNIT_ASSERT(!HasValidLease(starting.m_state));
    links::DataCenterSummary summary = SummaryOf(other.m_state, Now());
    summary.m_data_center = "b";
    CPPUNIT_ASSERT(ApplySummary(starting.m_state, summary, Now()));
    CPPUNIT_ASSERT(!HasValidLease(starting.m_state));
    starting.Read(Answer({2, 31}, {}), false);
    CPPUNIT_ASSERT(!HasValidLease(starting.m_state));
    // Another one has known the era for long.
    summary.m_era_age = 60s;
    ++summary.m_sequence;
    CPPUNIT_ASSERT(ApplySummary(starting.m_state, summary, Now()));
    starting.Read(Answer({2, 32}, {}), false);
    CPPUNIT_ASSERT(HasValidLease(starting.m_state));
  }

  // Guards against calls with a key that was taken away, if all entries start
  // right after the return: nobody knows when that was.
  void EntriesThatAllStartAfterAReturnWaitForLostChanges() {
    Entry first("e1");
    Entry second("e2");
    for (Entry* entry : {&first, &second})
      entry->Read(Answer({2, 30}, {ConfigRow({2, 20}, 19)}));
    ApplyUpdate(first.m_state, MakeEntryUpdate(second.m_state), Now());
    CPPUNIT_ASSERT(!HasValidLease(first.m_state));
    first.SettleReturn();
    first.Read(Answer({2, 31}, {}), false);
    CPPUNIT_ASSERT(HasValidLease(first.m_state));
  }

  // Guards against calls with a key whose removal the copy lacks.
  void ProofsOfTheCopyDoNotRenewTheLease() {
    Entry entry("e1");
    entry.Read(Answer({1, 500}, {ConfigRow({1, 500}, 23)}));
    const auto proved_at = entry.m_state.m_lease.m_proved_at;
    entry.Read(Answer({2, 30}, {ConfigRow({2, 20}, 23)}));
    CPPUNIT_ASSERT(entry.m_state.m_lease.m_proved_at == proved_at);
    entry.m_state.m_store_era.m_since =
        BootNow() - decide::kWrittenAgainWithin - 1s;
    entry.Read(Answer({2, 31}, {}), false);
    CPPUNIT_ASSERT(entry.m_state.m_lease.m_proved_at > proved_at);
  }

  // Guards against calls to an evacuated data centre while the operator writes
  // again what the copy lacks, and against an evacuation without an end, at an
  // entry that reads the store and at one that gets only proofs from it.
  void AnEvacuationMissingFromTheCopyHoldsForAWhile() {
    Entry reader("e1");
    Entry follower("e2");
    for (Entry* entry : {&reader, &follower}) {
      entry->Read(Answer({1, 500}, {EvacuationRow({1, 400})}));
      entry->Read(Answer({2, 30}, {WeightsRow({2, 10}, 3)}));
      entry->Read(Answer({2, 31}, {}), false);
      entry->m_rows.ReviewEvacuations();
      CPPUNIT_ASSERT(entry->IsEvacuated());
      entry->SettleReturn();
      entry->m_rows.ReviewEvacuations();
      CPPUNIT_ASSERT(entry->IsEvacuated());
    }
    reader.Read(Answer({2, 32}, {}), false);
    CPPUNIT_ASSERT(!reader.IsEvacuated());
    CPPUNIT_ASSERT(reader.m_rows.operator_rows().at("evacuate/a").m_deleted);
    ApplyUpdate(follower.m_state, MakeEntryUpdate(reader.m_state), Now());
    follower.m_rows.ReviewEvacuations();
    CPPUNIT_ASSERT(!follower.IsEvacuated());
  }

  void AnEvacuationWrittenAgainHolds() {
    Entry entry("e1");
    entry.Read(Answer({1, 500}, {EvacuationRow({1, 400})}));
    entry.Read(Answer({2, 30}, {}));
    entry.Read(Answer({2, 31}, {EvacuationRow({2, 31})}), false);
    entry.SettleReturn();
    entry.Read(Answer({2, 32}, {}), false);
    CPPUNIT_ASSERT(entry.IsEvacuated());
  }

  // Guards against calls to an evacuated data centre at an entry that starts
  // before the operator has written the row again.
  void AnEntryThatStartsAfterAReturnLearnsOfEvacuations() {
    Entry other("e2");
    other.Read(Answer({1, 500}, {EvacuationRow({1, 400})}));
    other.Read(Answer({2, 30}, {WeightsRow({2, 10}, 3)}));
    Entry starting("e1");
    starting.Read(Answer({2, 30}, {WeightsRow({2, 10}, 3)}));
    ApplyUpdate(starting.m_state, MakeEntryUpdate(other.m_state), Now());
    starting.m_rows.ReviewEvacuations();
    CPPUNIT_ASSERT(starting.IsEvacuated());
    starting.SettleReturn();
    starting.Read(Answer({2, 31}, {}), false);
    CPPUNIT_ASSERT(!starting.IsEvacuated());
    // The other entry learns of the end by the update.
    ApplyUpdate(other.m_state, MakeEntryUpdate(starting.m_state), Now());
    CPPUNIT_ASSERT(!other.IsEvacuated());
  }

  // Guards against calls to a data centre whose row is in the store again: it
  // was removed, and the copy has it.
  void AnEvacuationOfTheCopyHoldsUntilItIsRemoved() {
    Entry entry("e1");
    entry.Read(Answer({1, 500}, {EvacuationRow({1, 400})}));
    platform::Row removed = EvacuationRow({1, 501});
    removed.m_deleted = true;
    entry.Read(Answer({1, 501}, {removed}), false);
    CPPUNIT_ASSERT(!entry.IsEvacuated());
    entry.Read(Answer({2, 30}, {EvacuationRow({2, 20})}));
    CPPUNIT_ASSERT(entry.IsEvacuated());
    removed.m_revision = {2, 31};
    entry.Read(Answer({2, 31}, {removed}), false);
    CPPUNIT_ASSERT(!entry.IsEvacuated());
  }

  // Guards against all entries turning to the store, or refusing keys, since
  // only the reading entry knows the store's clock after a return.
  void AFollowerDatesProofsOfTheNewEra() {
    Entry reader("e1");
    Entry follower("e2");
    const Duration clock_step = 90s;
    for (Entry* entry : {&reader, &follower}) {
      entry->Read(Answer({1, 500}, {ConfigRow({1, 500}, 23)}));
      entry->ReadReplicas(Answer({1, 500}, {}));
    }
    platform::Rows copy = Answer({2, 30}, {ConfigRow({2, 20}, 23)});
    copy.m_store_time += clock_step;
    reader.Read(copy);
    reader.ReadReplicas(Answer({2, 30}, {}));
    ApplyUpdate(follower.m_state, MakeEntryUpdate(reader.m_state), Now());
    CPPUNIT_ASSERT(FindStoreReader(follower.m_state, Now()));
    CPPUNIT_ASSERT(
        !decide::ToLocal(follower.m_state.m_store_clock,
                         {2, reader.m_state.m_operator_confirmed_at.m_time}));
    const Duration before = BootNow();
    links::RelayedRows relayed = {copy, {}, std::nullopt, Duration(5ms)};
    relayed.m_rows.m_asked_at = BootNow();
    follower.m_rows.ApplyRelayedOperatorRows(relayed);
    const auto proved_at =
        decide::ToLocal(follower.m_state.m_store_clock, {2, copy.m_store_time});
    CPPUNIT_ASSERT(proved_at && *proved_at <= BootNow() &&
                   *proved_at >= before - 5ms);
  }

  // Guards against a new process that follows one of an earlier version, whose
  // revisions can't be ordered, while versions are mixed.
  void EntriesThatStateNoEraAreNotFollowed() {
    Entry older("e1");
    older.Read(Answer({0, 500}, {ConfigRow({0, 500}, 23)}));
    older.ReadReplicas(Answer({0, 500}, {}));
    Entry entry("e2");
    entry.Read(Answer({3, 500}, {ConfigRow({3, 500}, 23)}));
    ApplyUpdate(entry.m_state, MakeEntryUpdate(older.m_state), Now());
    CPPUNIT_ASSERT(!FindStoreReader(entry.m_state, Now()));
    CPPUNIT_ASSERT(!PickNewerPeer(entry.m_state, Now()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreReturnTest);

}  // namespace
}  // namespace verbenalead::entry
