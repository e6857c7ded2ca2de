#include "daemon/config_store.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <thread>

#include "base/catch_failure.h"
#include "daemon/config_messages.h"

namespace verbenalead::daemon {
namespace {

namespace asio = boost::asio;
using backends::TableItem;
using backends::TableWrite;
using backends::TransactResult;

/// What happens to one call to the table and to its answer.
enum class CallOutcome {
  kAnswered,
  kAnswerLost,
  kRequestLost,
  kDelayed,
  kNotSent
};

/// The content of the simulated table and the calls in progress. The test
/// completes the calls one by one, in any order.
struct TableState {
  struct Turn {
    explicit Turn(asio::io_context& context)
        : m_event(context, TimePoint::max()) {}
    asio::steady_timer m_event;
    std::optional<CallOutcome> m_call_outcome;
  };

  bool Apply(const std::vector<TableWrite>& writes) {
    for (const TableWrite& write : writes) {
      auto found =
          m_items.find({write.m_item.m_partition, write.m_item.m_sort});
      const bool absent = found == m_items.end();
      if (write.m_condition == TableWrite::Condition::kAbsent && !absent)
        return false;
      if (write.m_condition == TableWrite::Condition::kRevisionIs &&
          (absent || found->second.m_revision != write.m_expected_revision))
        return false;
    }
    for (const TableWrite& write : writes)
      m_items[{write.m_item.m_partition, write.m_item.m_sort}] = write.m_item;
    return true;
  }

  Awaitable<CallOutcome> Wait() {
    auto pending_call = std::make_shared<Turn>(m_context);
    m_turns.push_back(pending_call);
    while (!pending_call->m_call_outcome) {
      boost::system::error_code ignored;
      co_await pending_call->m_event.async_wait(
          asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return *pending_call->m_call_outcome;
  }

  void Resume(size_t index, CallOutcome outcome) {
    auto pending_call = m_turns[index];
    m_turns.erase(m_turns.begin() + static_cast<ptrdiff_t>(index));
    pending_call->m_call_outcome = outcome;
    pending_call->m_event.cancel();
    Poll();
  }

  void Poll() {
    m_context.restart();
    m_context.poll();
  }

  /// All committed changes, in the order of their revisions.
  std::vector<model::Change> Log() const {
    std::vector<model::Change> log;
    for (const auto& [key, item] : m_items) {
      if (key.first != "change")
        continue;
      const std::string& text = item.m_value;
      auto change = CatchFailure([&] { return model::ParseChange(text); });
      log.push_back(*change);
    }
    return log;
  }

  asio::io_context m_context{1};
  std::map<std::pair<std::string, std::string>, TableItem> m_items;
  std::vector<std::shared_ptr<Turn>> m_turns;
  std::vector<std::vector<TableWrite>> m_late;
};

class FakeTable : public backends::Table {
 public:
  explicit FakeTable(TableState& table_state) : m_table_state(table_state) {}

  Awaitable<AsyncResult<std::optional<TableItem>>> Get(
      std::string partition,
      std::string sort) override {
    if (co_await m_table_state.Wait() != CallOutcome::kAnswered)
      co_return Lost(FailureCode::kTimeout);
    auto found = m_table_state.m_items.find({partition, sort});
    if (found == m_table_state.m_items.end())
      co_return std::optional<TableItem>();
    co_return std::optional<TableItem>(found->second);
  }

  Awaitable<AsyncResult<std::vector<TableItem>>>
  Query(std::string partition, std::string after, uint32_t limit) override {
    if (co_await m_table_state.Wait() != CallOutcome::kAnswered)
      co_return Lost(FailureCode::kTimeout);
    std::vector<TableItem> items;
    for (auto at = m_table_state.m_items.upper_bound({partition, after});
         at != m_table_state.m_items.end() && at->first.first == partition &&
         items.size() < limit;
         ++at)
      items.push_back(at->second);
    co_return items;
  }

  Awaitable<AsyncResult<TransactResult>> Transact(
      std::vector<TableWrite> writes) override {
    const CallOutcome outcome = co_await m_table_state.Wait();
    if (outcome == CallOutcome::kNotSent)
      co_return Lost(FailureCode::kUnreachable);
    if (outcome == CallOutcome::kDelayed)
      m_table_state.m_late.push_back(writes);
    if (outcome == CallOutcome::kDelayed ||
        outcome == CallOutcome::kRequestLost)
      co_return Lost(FailureCode::kTimeout);
    const bool done = m_table_state.Apply(writes);
    if (outcome == CallOutcome::kAnswerLost)
      co_return Lost(FailureCode::kBroken);
    co_return done ? TransactResult::kCommitted : TransactResult::kConflict;
  }

 private:
  static Failure Lost(FailureCode code) { return {code, "table", "fake", ""}; }

  TableState& m_table_state;
};

Awaitable<void> NoPause(Duration) {
  co_return;
}

/// A commit that an operator has requested.
struct Commit {
  model::ResourceWrite m_write;
  std::optional<AsyncResult<model::Change>> m_result;
};

Awaitable<void> RunCommit(std::shared_ptr<ConfigStore> store,
                          std::shared_ptr<Commit> commit) {
  commit->m_result = co_await store->Commit(commit->m_write);
}

Awaitable<void> RunCatchUp(std::shared_ptr<ConfigStore> store) {
  auto ignored = co_await store->CatchUp();
  (void)ignored;
}

constexpr size_t kSteps = 400;

Awaitable<void> RunSnapshot(std::shared_ptr<ConfigStore> store) {
  auto ignored = co_await store->WriteSnapshot();
  (void)ignored;
}

/// Daemons, the messages between them, and checks of their state against the
/// log of changes in the table.
struct Fleet {
  static constexpr size_t kDaemons = 5;

  Fleet() : m_table(m_table_state) {
    for (size_t i = 0; i < kDaemons; ++i)
      m_daemons.push_back(NewKeeper());
    m_seen.resize(kDaemons);
  }

  std::shared_ptr<ConfigStore> NewKeeper() {
    return std::make_shared<ConfigStore>(&m_table, &NoPause);
  }

  std::shared_ptr<Commit> Start(size_t daemon, model::ResourceWrite write) {
    auto commit = std::make_shared<Commit>();
    commit->m_write = std::move(write);
    m_commits.push_back(commit);
    asio::co_spawn(m_table_state.m_context,
                   RunCommit(m_daemons[daemon], commit), asio::detached);
    m_table_state.Poll();
    return commit;
  }

  void StartCatchUp(size_t daemon) {
    asio::co_spawn(m_table_state.m_context, RunCatchUp(m_daemons[daemon]),
                   asio::detached);
    m_table_state.Poll();
  }

  /// Answers all calls until none is in progress.
  void Settle() {
    while (!m_table_state.m_turns.empty())
      m_table_state.Resume(0, CallOutcome::kAnswered);
  }

  /// Checks that no daemon has lowered its revision, and that each holds
  /// exactly the committed changes up to its revision.
  void CheckDaemons() {
    const std::vector<model::Change> log = m_table_state.Log();
    for (size_t i = 0; i < kDaemons; ++i) {
      const auto state = m_daemons[i]->current();
      RC_ASSERT(state->m_revision >= m_seen[i]);
      m_seen[i] = state->m_revision;
      RC_ASSERT(state->m_revision <= log.size());
      decide::ConfigState expected;
      for (size_t at = 0; at < state->m_revision; ++at)
        RC_ASSERT(decide::Apply(expected, log[at]) ==
                  decide::ApplyResult::kApplied);
      RC_ASSERT(expected == *state);
    }
  }

  /// Checks the results that operators received against the log. Each operation
  /// is in it at most once, a write that succeeded is in it, and a write that
  /// failed with a known outcome isn't.
  void CheckCommits() {
    const std::vector<model::Change> log = m_table_state.Log();
    std::map<std::string, size_t> entries;
    std::map<std::string, size_t> commit_counts;
    for (const model::Change& change : log)
      RC_ASSERT(++entries[change.m_operation] == 1u);
    for (const auto& commit : m_commits)
      ++commit_counts[commit->m_write.m_operation];
    for (const auto& commit : m_commits) {
      if (!commit->m_result)
        continue;
      const auto& result = *commit->m_result;
      if (result.has_value()) {
        RC_ASSERT(result->m_revision <= log.size());
        RC_ASSERT(log[result->m_revision - 1] == *result);
      } else if (result.error().m_code != FailureCode::kTimeout &&
                 commit_counts[commit->m_write.m_operation] == 1) {
        RC_ASSERT(entries[commit->m_write.m_operation] == 0u);
      }
    }
  }

  TableState m_table_state;
  FakeTable m_table;
  std::vector<std::shared_ptr<ConfigStore>> m_daemons;
  std::vector<uint64_t> m_seen;
  std::vector<std::shared_ptr<Commit>> m_commits;
  std::vector<std::pair<size_t, std::string>> m_messages;
  size_t m_operations = 0;
};

model::ResourceWrite WriteOf(const std::string& name,
                             const std::string& operation) {
  model::ResourceWrite write;
  write.m_key = {"limits", name};
  write.m_spec = "{\"operation\":\"" + operation + "\"}";
  write.m_operation = operation;
  write.m_operator = "ann";
  return write;
}

/// Starts a write of an operator: unconditional, conditional on the revision in
/// force at the daemon (compare-and-swap), or a retry of an earlier write
/// through any daemon.
void Ask(Fleet& fleet, uint32_t random) {
  const size_t daemon = random % Fleet::kDaemons;
  random /= Fleet::kDaemons;
  if (random % 4 == 0 && !fleet.m_commits.empty()) {
    fleet.Start(daemon,
                fleet.m_commits[random / 4 % fleet.m_commits.size()]->m_write);
    return;
  }
  model::ResourceWrite write =
      WriteOf("r" + std::to_string(random / 4 % 3),
              "op" + std::to_string(fleet.m_operations++));
  if (random % 4 != 1) {
    const auto state = fleet.m_daemons[daemon]->current();
    auto found = state->m_resources.find(write.m_key);
    write.m_expected_revision =
        found == state->m_resources.end() ? 0 : found->second.m_revision;
  }
  if (random % 4 == 3)
    write.m_deleted = true;
  fleet.Start(daemon, write);
}

void CompleteOneCall(Fleet& fleet, uint32_t random) {
  if (fleet.m_table_state.m_turns.empty())
    return;
  constexpr CallOutcome kOutcomes[] = {
      CallOutcome::kAnswered,   CallOutcome::kAnswered,
      CallOutcome::kAnswered,   CallOutcome::kAnswered,
      CallOutcome::kAnswerLost, CallOutcome::kRequestLost,
      CallOutcome::kDelayed,    CallOutcome::kNotSent};
  fleet.m_table_state.Resume(random / 8 % fleet.m_table_state.m_turns.size(),
                             kOutcomes[random % 8]);
}

/// Writes or delivers a message between daemons. Messages may arrive late,
/// twice, out of order, after a restart of the receiver, or never.
void ExchangeMessages(Fleet& fleet, uint32_t random) {
  const size_t from = random / 2 % Fleet::kDaemons;
  const size_t to = random / 16 % Fleet::kDaemons;
  if (random % 2 == 0) {
    fleet.m_messages.emplace_back(
        to, SerialiseConfigAfter(*fleet.m_daemons[from],
                                 fleet.m_daemons[to]->current()->m_revision));
  } else if (!fleet.m_messages.empty()) {
    const auto& message =
        fleet.m_messages[random / 256 % fleet.m_messages.size()];
    ConfigStore& store = *fleet.m_daemons[message.first];
    auto applied =
        CatchFailure([&] { return ApplyConfig(store, message.second); });
    RC_ASSERT(applied.has_value());
  }
}

void Step(Fleet& fleet, uint32_t random) {
  const uint32_t kind = random % 16;
  random /= 16;
  if (kind < 3) {
    Ask(fleet, random);
  } else if (kind < 10) {
    CompleteOneCall(fleet, random);
  } else if (kind < 13) {
    ExchangeMessages(fleet, random);
  } else if (kind == 13 && !fleet.m_table_state.m_late.empty()) {
    // A write reaches the table long after its sender has timed out.
    fleet.m_table_state.Apply(fleet.m_table_state.m_late.front());
    fleet.m_table_state.m_late.erase(fleet.m_table_state.m_late.begin());
  } else if (kind == 14) {
    fleet.StartCatchUp(random % Fleet::kDaemons);
  } else if (kind == 15 && random % 8 == 1) {
    asio::co_spawn(fleet.m_table_state.m_context,
                   RunSnapshot(fleet.m_daemons[random / 8 % Fleet::kDaemons]),
                   asio::detached);
    fleet.m_table_state.Poll();
  } else if (kind == 15 && random % 8 == 0) {
    // The daemon is restarted; its calls to the table remain in progress.
    const size_t daemon = random / 8 % Fleet::kDaemons;
    fleet.m_daemons[daemon] = fleet.NewKeeper();
    fleet.m_seen[daemon] = 0;
  }
}

class ConfigStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigStoreTest);
  CPPUNIT_TEST(OwnWriteIsNotReportedAsConflict);
  CPPUNIT_TEST(OperationIdIdentifiesOneWrite);
  CPPUNIT_TEST(ConflictNamesTheWinningWrite);
  CPPUNIT_TEST(ReferencedResourceIsNotDeleted);
  CPPUNIT_TEST(StartsFromASnapshot);
  CPPUNIT_TEST(NoChangeIsDuplicatedLostOrReverted);
  CPPUNIT_TEST(ConcurrentReadsAndChanges);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a conflict (409) that is reported to an operator although
  // its own write is in force. It arose when the answer of the table was lost
  // and the write took effect after the operation had been looked up and before
  // the log was read: the log then showed another revision than the operator
  // expected, which was the operator's own write.
  void OwnWriteIsNotReportedAsConflict() {
    Fleet fleet;
    model::ResourceWrite write = WriteOf("a", "op1");
    write.m_expected_revision = 0;
    auto commit = fleet.Start(0, write);
    // Snapshot, log and operation are read; then the write is sent and delayed.
    fleet.m_table_state.Resume(0, CallOutcome::kAnswered);
    fleet.m_table_state.Resume(0, CallOutcome::kAnswered);
    fleet.m_table_state.Resume(0, CallOutcome::kAnswered);
    fleet.m_table_state.Resume(0, CallOutcome::kDelayed);
    // The snapshot and the first of log and operation are read again.
    fleet.m_table_state.Resume(0, CallOutcome::kAnswered);
    fleet.m_table_state.Resume(0, CallOutcome::kAnswered);
    fleet.m_table_state.Apply(fleet.m_table_state.m_late.front());
    fleet.Settle();
    CPPUNIT_ASSERT(commit->m_result.has_value());
    CPPUNIT_ASSERT(commit->m_result->has_value());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, (*commit->m_result)->m_revision);
  }

  void OperationIdIdentifiesOneWrite() {
    Fleet fleet;
    fleet.Start(0, WriteOf("a", "op1"));
    fleet.Settle();
    auto repeat = fleet.Start(1, WriteOf("a", "op1"));
    auto other = fleet.Start(1, WriteOf("b", "op1"));
    fleet.Settle();
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, (*repeat->m_result)->m_revision);
    CPPUNIT_ASSERT(other->m_result->error().m_code == FailureCode::kInvalid);
  }

  void ConflictNamesTheWinningWrite() {
    Fleet fleet;
    model::ResourceWrite first = WriteOf("a", "op1");
    model::ResourceWrite second = WriteOf("a", "op2");
    first.m_expected_revision = second.m_expected_revision = 0;
    fleet.Start(0, first);
    fleet.Settle();
    auto loser = fleet.Start(1, second);
    fleet.Settle();
    const Failure failure = loser->m_result->error();
    CPPUNIT_ASSERT(failure.m_code == FailureCode::kConflict);
    CPPUNIT_ASSERT(
        failure.m_reason.find("revision 1 by operation op1 of operator ann") !=
        std::string::npos);
  }

  void ReferencedResourceIsNotDeleted() {
    Fleet fleet;
    model::ResourceWrite model = WriteOf("m", "op1");
    model.m_key.m_kind = "model";
    fleet.Start(0, model);
    fleet.Settle();
    model::ResourceWrite version = WriteOf("v", "op2");
    version.m_key.m_kind = "version";
    version.m_spec = R"({"model":"m"})";
    fleet.Start(0, version);
    fleet.Settle();
    model.m_deleted = true;
    model.m_operation = "op3";
    auto refused = fleet.Start(0, model);
    fleet.Settle();
    const Failure failure = refused->m_result->error();
    CPPUNIT_ASSERT(failure.m_code == FailureCode::kInvalid);
    CPPUNIT_ASSERT(failure.m_reason.find("version/v") != std::string::npos);
  }

  void StartsFromASnapshot() {
    Fleet fleet;
    for (uint64_t i = 0; i <= ConfigStore::kSnapshotInterval; ++i) {
      fleet.Start(0, WriteOf("a", "op" + std::to_string(i)));
      fleet.Settle();
    }
    asio::co_spawn(fleet.m_table_state.m_context,
                   RunSnapshot(fleet.m_daemons[0]), asio::detached);
    fleet.m_table_state.Poll();
    fleet.Settle();
    // A start from the snapshot needs only the changes after it, so all earlier
    // ones are removed.
    std::erase_if(fleet.m_table_state.m_items, [](const auto& item) {
      return item.first.first == "change";
    });
    fleet.StartCatchUp(1);
    fleet.Settle();
    CPPUNIT_ASSERT(*fleet.m_daemons[0]->current() ==
                   *fleet.m_daemons[1]->current());
  }

  // Operators write concurrently through five daemons while the table answers
  // late, loses requests and answers, and applies writes long after they were
  // sent; daemons exchange outdated messages, resume late and are restarted.
  // 100 runs of 400 steps. After each step every daemon must hold a prefix of
  // the table's log and none may have lowered its revision. At the end the
  // results that operators received must be true, and all daemons must agree.
  void NoChangeIsDuplicatedLostOrReverted() {
    const bool good = rc::check("states match the log, none is lowered", [] {
      // Full size from the first run on, since small sizes produce hardly any
      // concurrency. Not shrunk, since shrinking took more than nine minutes.
      const auto steps = *rc::gen::noShrink(rc::gen::resize(
          rc::kNominalSize,
          rc::gen::container<std::vector<uint32_t>>(
              kSteps, rc::gen::inRange<uint32_t>(0, 1u << 31))));
      Fleet fleet;
      for (const uint32_t random : steps) {
        Step(fleet, random);
        fleet.CheckDaemons();
      }
      for (const auto& writes : fleet.m_table_state.m_late)
        fleet.m_table_state.Apply(writes);
      fleet.Settle();
      for (size_t i = 0; i < Fleet::kDaemons; ++i)
        fleet.StartCatchUp(i);
      fleet.Settle();
      fleet.CheckDaemons();
      fleet.CheckCommits();
      for (const auto& daemon : fleet.m_daemons)
        RC_ASSERT(daemon->current()->m_revision ==
                  fleet.m_table_state.Log().size());
    });
    CPPUNIT_ASSERT(good);
  }

  void ConcurrentReadsAndChanges() {
    ConfigStore store(nullptr);
    std::vector<std::thread> threads;
    for (int t = 0; t < 4; ++t) {
      threads.emplace_back([&store] {
        uint64_t seen = 0;
        for (uint64_t revision = 1; revision <= 200; ++revision) {
          store.ApplyChanges(
              {{revision, {"limits", "a"}, false, "{}", "", ""}});
          store.RecordObservedRevision(revision);
          const uint64_t now = store.current()->m_revision;
          CPPUNIT_ASSERT(now >= seen);
          seen = now;
        }
      });
    }
    for (std::thread& thread : threads)
      thread.join();
    CPPUNIT_ASSERT_EQUAL(uint64_t{200}, store.current()->m_revision);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigStoreTest);

}  // namespace
}  // namespace verbenalead::daemon
