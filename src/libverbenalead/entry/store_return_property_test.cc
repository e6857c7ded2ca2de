#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "base/boot_clock.h"
#include "decide/store/table_cursor.h"
#include "entry/row_applier.h"
#include "entry/store_return.h"

namespace verbenalead::entry {
namespace {

constexpr size_t kEntries = 3;
constexpr uint64_t kMaxOtherWrites = 400;
constexpr char kReplica[] = "1";

platform::Row ConfigRow(model::Revision revision, uint64_t version) {
  return {"config",
          R"({"version":)" + std::to_string(version) +
              R"(,"routes":[],"services":[],"tenants":[]})",
          revision, false};
}

platform::Row ReplicaRow(model::Revision revision, bool leaving) {
  return {kReplica,
          std::string(R"({"service":"pool","address":"10.0.0.1:80","zone":"a",)"
                      R"("slots":4,"state":")") +
              (leaving ? "draining" : "ready") + R"("})",
          revision, false};
}

/// A store that may come back from a copy. Each table has one row.
struct FakeStore {
  struct Rows {
    uint64_t m_number = 1;
    uint64_t m_config = 1;
    uint64_t m_config_number = 1;
    bool m_leaving = false;
    uint64_t m_replica_number = 1;
  };

  void WriteConfig() {
    m_copies.push_back(m_rows);
    m_rows.m_config = m_newest_config;
    m_rows.m_config_number = ++m_rows.m_number;
  }
  void WriteReplica() {
    m_copies.push_back(m_rows);
    m_rows.m_leaving = m_leaving;
    m_rows.m_replica_number = ++m_rows.m_number;
  }
  void ComeBack(size_t back) {
    back = std::min(back, m_copies.size());
    if (back > 0)
      m_rows = m_copies[m_copies.size() - back];
    m_copies.resize(m_copies.size() - back);
    ++m_era;
  }

  /// Absent: 410.
  std::optional<platform::Rows> Read(const decide::TableCursor& cursor,
                                     bool whole,
                                     bool replicas) const {
    const uint64_t after = whole ? 0 : cursor.m_revision.m_number;
    if (after > m_rows.m_number)
      return std::nullopt;
    platform::Rows answer;
    answer.m_revision = {m_era, m_rows.m_number};
    answer.m_asked_at = answer.m_store_time = BootNow();
    const uint64_t number =
        replicas ? m_rows.m_replica_number : m_rows.m_config_number;
    if (number > after) {
      answer.m_rows.push_back(
          replicas ? ReplicaRow({m_era, number}, m_rows.m_leaving)
                   : ConfigRow({m_era, number}, m_rows.m_config));
    }
    return answer;
  }

  uint64_t m_era = 1;
  Rows m_rows;
  std::vector<Rows> m_copies;
  /// What the operator and the replica want, and write again.
  uint64_t m_newest_config = 1;
  bool m_leaving = false;
};

struct Entry {
  Entry() : m_rows(m_state) {}

  struct Answer {
    std::optional<platform::Rows> m_rows;
    bool m_whole = false;
    bool m_replicas = false;
  };

  decide::TableCursor& CursorOf(bool replicas) {
    return replicas ? m_replica_cursor : m_operator_cursor;
  }

  Answer Ask(const FakeStore& store, bool replicas) {
    const decide::TableCursor& cursor = CursorOf(replicas);
    const bool whole = decide::NeedsWholeTable(cursor);
    return {store.Read(cursor, whole, replicas), whole, replicas};
  }

  void Take(const Answer& answer) {
    decide::TableCursor& cursor = CursorOf(answer.m_replicas);
    if (!answer.m_rows) {
      decide::RecordHistoryGone(cursor);
      return;
    }
    const auto use =
        decide::RecordAnswer(cursor, answer.m_rows->m_revision, answer.m_whole);
    if (use != decide::AnswerUse::kApply)
      return;
    if (answer.m_replicas)
      m_rows.ApplyReplicaRows(*answer.m_rows, answer.m_whole, TimePoint());
    else
      m_rows.ApplyOperatorRows(*answer.m_rows, answer.m_whole);
  }

  void FetchFrom(const Entry& other) {
    if (other.m_operator_cursor.m_revision.m_number > 0) {
      m_rows.ApplyRelayedOperatorRows(
          RelayOf(other.m_rows.operator_rows(), other.m_operator_cursor));
      decide::SkipTo(m_operator_cursor, other.m_operator_cursor.m_revision);
    }
    if (other.m_replica_cursor.m_revision.m_number > 0 &&
        m_rows.ApplyRelayedReplicaRows(
            RelayOf(other.m_rows.replica_rows(), other.m_replica_cursor)))
      decide::SkipTo(m_replica_cursor, other.m_replica_cursor.m_revision);
  }

  static links::RelayedRows RelayOf(
      const std::map<std::string, platform::Row>& rows,
      const decide::TableCursor& cursor) {
    links::RelayedRows relayed;
    relayed.m_rows.m_revision = cursor.m_revision;
    for (const auto& [key, row] : rows)
      relayed.m_rows.m_rows.push_back(row);
    return relayed;
  }

  bool KnowsLeaving() const {
    const auto service = m_state.m_services.find("pool");
    if (service == m_state.m_services.end())
      return false;
    const auto& replicas = service->second.m_pool.m_replicas;
    return replicas.contains(kReplica) &&
           replicas.at(kReplica).m_known.m_leaving;
  }

  EntryState m_state{EntryOptions()};
  RowApplier m_rows;
  decide::TableCursor m_operator_cursor;
  decide::TableCursor m_replica_cursor;
  /// Answers that are still on their way.
  std::vector<Answer> m_delayed;
};

/// Plays random returns, writes, reads, relays and restarts.
struct Play {
  void Step() {
    const size_t at = *rc::gen::inRange<size_t>(0, kEntries);
    const size_t from = *rc::gen::inRange<size_t>(0, kEntries);
    Entry& entry = *m_entries[at];
    switch (*rc::gen::inRange(0, 10)) {
      case 0:
        ++m_store.m_newest_config;
        m_store.WriteConfig();
        break;
      case 1:
        m_store.m_leaving = true;
        m_store.WriteReplica();
        break;
      case 2:
        m_store.ComeBack(*rc::gen::inRange<size_t>(0, 4));
        break;
      case 3:
        m_store.m_rows.m_number +=
            *rc::gen::inRange<uint64_t>(0, kMaxOtherWrites);
        break;
      case 4:
        WriteAgain();
        break;
      case 5:
        entry.m_delayed.push_back(entry.Ask(m_store, at == from));
        break;
      case 6:
        if (!entry.m_delayed.empty()) {
          const Entry::Answer answer = entry.m_delayed.back();
          entry.m_delayed.pop_back();
          entry.Take(answer);
        }
        break;
      case 7:
        m_entries[at] = std::make_unique<Entry>();
        break;
      case 8:
        if (at != from)
          entry.FetchFrom(*m_entries[from]);
        break;
      default:
        Read(entry);
    }
  }

  void WriteAgain() {
    m_store.WriteConfig();
    m_store.WriteReplica();
  }

  void Read(Entry& entry) {
    entry.Take(entry.Ask(m_store, false));
    entry.Take(entry.Ask(m_store, true));
  }

  FakeStore m_store;
  std::vector<std::unique_ptr<Entry>> m_entries;
};

class StoreReturnPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreReturnPropertyTest);
  CPPUNIT_TEST(KnowledgeNeverGoesBackAndAllChangesArrive);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against changes that are lost or taken back by any order of returns,
  // late answers, relays and restarts.
  void KnowledgeNeverGoesBackAndAllChangesArrive() {
    CPPUNIT_ASSERT(rc::check("changes", [] {
      Play play;
      for (size_t i = 0; i < kEntries; ++i)
        play.m_entries.push_back(std::make_unique<Entry>());
      const int steps = *rc::gen::inRange(1, 60);
      for (int step = 0; step < steps; ++step) {
        std::vector<std::tuple<Entry*, uint64_t, bool>> before;
        for (const auto& entry : play.m_entries) {
          before.emplace_back(entry.get(), ConfigVersion(entry->m_state),
                              entry->KnowsLeaving());
        }
        play.Step();
        for (size_t i = 0; i < kEntries; ++i) {
          const auto& [entry, version, leaving] = before[i];
          if (play.m_entries[i].get() != entry)
            continue;
          RC_ASSERT(ConfigVersion(entry->m_state) >= version);
          RC_ASSERT(entry->KnowsLeaving() || !leaving);
        }
      }
      play.WriteAgain();
      for (const auto& entry : play.m_entries) {
        // A 410 or an answer of a newer era costs one read more.
        play.Read(*entry);
        play.Read(*entry);
        RC_ASSERT(ConfigVersion(entry->m_state) ==
                  play.m_store.m_newest_config);
        RC_ASSERT(entry->KnowsLeaving() == play.m_store.m_leaving);
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreReturnPropertyTest);

}  // namespace
}  // namespace verbenalead::entry
