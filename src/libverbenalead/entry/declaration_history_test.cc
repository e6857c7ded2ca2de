#include <cppunit/extensions/HelperMacros.h>

#include "base/boot_clock.h"
#include "entry/peer_updates.h"
#include "entry/row_applier.h"

namespace verbenalead::entry {
namespace {

constexpr Duration kBound = 8s;
/// Less than the margin by which an entry bars older weights before the bound.
constexpr Duration kSlack = 250ms;

EntryOptions OptionsOf(const std::string& host) {
  EntryOptions options;
  options.m_weights_bound = kBound;
  options.m_own_address = {host, "a", Endpoint("127.0.0.1", 1),
                           Endpoint("127.0.0.1", 2)};
  return options;
}

/// An entry whose store's clock is the local one.
struct Entry {
  explicit Entry(const std::string& host)
      : m_state(OptionsOf(host)), m_rows(m_state) {
    decide::AnsweredAt(m_state.m_store_clock, BootNow(), {0, BootNow()});
  }

  /// Applies the store's answer of `ago`, to a query sent at `asked_ago`. The
  /// declaration of `version` is new in it; 0: there is nothing new.
  void TakeAnswer(Duration asked_ago, Duration ago, uint64_t version) {
    const Duration now = BootNow();
    platform::Rows rows;
    if (version > 0) {
      rows.m_rows.push_back(
          {"version/m",
           R"({"model":"m","version":)" + std::to_string(version) + "}",
           {0, version},
           false});
    }
    m_revision = std::max(m_revision, version);
    rows.m_revision = {0, m_revision};
    rows.m_asked_at = now - asked_ago;
    rows.m_store_time = now - ago;
    m_rows.ApplyOperatorRows(rows, !std::exchange(m_has_table, true));
  }

  /// Learns what `other` sends: its update, and its rows if they are newer.
  void HearFrom(const Entry& other) {
    ApplyUpdate(m_state, MakeEntryUpdate(other.m_state), Now());
    if (m_state.m_operator_revision >= other.m_state.m_operator_revision)
      return;
    links::RelayMetadata metadata;
    metadata.m_sent_at = BootNow();
    m_rows.ApplyRelayedOperatorRows(
        links::DecodeRows(links::EncodeRows(other.m_rows.operator_rows(),
                                            other.m_state.m_operator_revision,
                                            other.m_rows.seen()),
                          metadata)
            .value());
  }

  /// The oldest version on which a call may begin once `age` has passed since a
  /// declaration that was made `declared_ago`.
  uint64_t RequiredAt(Duration age, Duration declared_ago) const {
    const auto versions = m_state.m_weights.find("m");
    return versions == m_state.m_weights.end()
               ? 0
               : decide::Binding(versions->second, Now() + age - declared_ago);
  }

  EntryState m_state;
  RowApplier m_rows;
  uint64_t m_revision = 1;
  bool m_has_table = false;
};

/// An entry that has read two declarations of `first_ago` and `second_ago`
/// without any gap.
void TakeTwoDeclarations(Entry& entry,
                         Duration first_ago,
                         Duration second_ago) {
  entry.TakeAnswer(first_ago + 2s, first_ago + 2s, 0);
  entry.TakeAnswer(first_ago + 2s, first_ago, 2);
  entry.TakeAnswer(first_ago, second_ago, 3);
}

class DeclarationHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DeclarationHistoryTest);
  CPPUNIT_TEST(AnEntryThatStartsAfterTwoDeclarationsBarsByTheFirst);
  CPPUNIT_TEST(AnEntryThatWasAwayDuringTwoDeclarationsBarsByTheFirst);
  CPPUNIT_TEST(ADateFromAfterAGapGivesWayToOneThatIsKnown);
  CPPUNIT_TEST(TablesThatComeLateAfterAStartDoNotPostponeTheBound);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against calls on version 1 beyond the bound of version 2: the store
  // and the rows of others show version 3 alone to an entry that starts.
  void AnEntryThatStartsAfterTwoDeclarationsBarsByTheFirst() {
    Entry running("e1");
    TakeTwoDeclarations(running, 6s, 3s);
    Entry started("e2");
    started.HearFrom(running);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, started.RequiredAt(7s, 6s));
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, started.RequiredAt(kBound - kSlack, 6s));
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, started.RequiredAt(kBound - kSlack, 3s));
    // It is the one that reads the store, and hears of others after that.
    Entry reader("e0");
    reader.TakeAnswer(0s, 0s, 3);
    reader.HearFrom(running);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, reader.RequiredAt(kBound - kSlack, 6s));
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, reader.RequiredAt(7s, 3s));
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, reader.RequiredAt(kBound - kSlack, 3s));
  }

  // The same for an entry that lost the store and all others for a while.
  void AnEntryThatWasAwayDuringTwoDeclarationsBarsByTheFirst() {
    Entry running("e1");
    TakeTwoDeclarations(running, 6s, 3s);
    Entry away("e2");
    away.TakeAnswer(8s, 8s, 0);
    away.TakeAnswer(100ms, 0s, 3);
    away.HearFrom(running);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, away.RequiredAt(kBound - kSlack, 6s));
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, away.RequiredAt(kBound - kSlack, 3s));
  }

  // Guards against calls on older weights for as long as the entry that reads
  // the store was without it: it dates the declaration by its answer.
  void ADateFromAfterAGapGivesWayToOneThatIsKnown() {
    Entry running("e1");
    running.TakeAnswer(7s, 7s, 0);
    running.TakeAnswer(7s, 5s, 2);
    Entry reader("e0");
    reader.TakeAnswer(8s, 8s, 0);
    reader.TakeAnswer(10ms, 0s, 2);
    reader.HearFrom(running);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, reader.RequiredAt(7s, 5s));
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, reader.RequiredAt(kBound - kSlack, 5s));
    // And the other way round: the date that is known stays.
    running.HearFrom(reader);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, running.RequiredAt(kBound - kSlack, 5s));
  }

  // Guards against calls on older weights by an entry that has just started and
  // gets its first table seconds later: the bound may end soon after the start.
  void TablesThatComeLateAfterAStartDoNotPostponeTheBound() {
    Entry started("e1");
    started.m_state.m_started_at = Now() - 2s;
    started.TakeAnswer(0s, 0s, 2);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, started.RequiredAt(1s, 0s));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeclarationHistoryTest);

}  // namespace
}  // namespace verbenalead::entry
