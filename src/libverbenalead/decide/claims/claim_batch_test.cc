#include "decide/claims/claim_batch.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>

namespace verbenalead::decide {
namespace {

constexpr size_t kEntries = 3;
constexpr size_t kKeys = 4;
constexpr Duration kPatience = 2s;
/// Number of events in one run of the property. RapidCheck makes 100 runs.
constexpr size_t kEvents = 250;

using Kind = ClaimOperation::Kind;
using Table = std::map<std::string, ClaimItem>;

/// Writes all of `puts` and returns true if all their conditions hold;
/// otherwise writes nothing.
bool Write(Table& table, const std::vector<ClaimPut>& puts) {
  for (const ClaimPut& put : puts) {
    auto found = table.find(put.m_key);
    const uint64_t stored = found == table.end() ? 0 : found->second.m_revision;
    if (stored != put.m_expected)
      return false;
  }
  for (const ClaimPut& put : puts)
    table[put.m_key] = put.m_item;
  return true;
}

std::optional<ClaimItem> ReadItem(const Table& table, const std::string& key) {
  auto found = table.find(key);
  return found == table.end() ? std::nullopt
                              : std::optional<ClaimItem>(found->second);
}

/// A call in the view of its entry.
struct TestCall {
  std::string m_key;
  uint64_t m_writer = 0;
  Kind m_step = Kind::kClaim;
  bool m_ran = false;
  bool m_settled = false;
};

/// One simulated entry: its batch, unanswered messages, and calls by operation.
struct TestEntry {
  ClaimBatchState m_batch;
  std::vector<ClaimAction> m_sent;
  std::map<uint64_t, TestCall> m_calls;
  /// Calls whose claim this entry holds and that have not ended.
  std::vector<TestCall> m_claimed;
};

/// Simulated events. The random choices of each event come from one number.
enum class Event {
  kCall,
  kAnswer,          ///< A sent message is executed and answered.
  kLoseAfter,       ///< A sent message is executed; its answer is lost.
  kLoseBefore,      ///< A sent message is lost before execution.
  kDelay,           ///< A sent message appears lost and is executed later.
  kDeliverDelayed,  ///< A delayed write is executed.
  kNotSent,
  kRun,
  kCancel,  ///< A claimed call is released without being run.
  kAdvanceTime,
  kCrash,
  kCount,
};

/// Simulates several entries and one table, and counts the runs of each key
/// independently of the code under test.
class Simulation {
 public:
  void Step(uint32_t number) {
    const auto event =
        static_cast<Event>(number % static_cast<uint32_t>(Event::kCount));
    const uint32_t choice = number / static_cast<uint32_t>(Event::kCount);
    TestEntry& entry = m_entries[choice % kEntries];
    HandleEvent(event, entry, choice / kEntries);
    Apply(entry, Tick(entry.m_batch, m_now));
  }

  /// Runs without faults until all pending operations have ended.
  void RunWithoutFaults() {
    for (int round = 0; round < 2000; ++round) {
      for (TestEntry& entry : m_entries) {
        HandleEvent(Event::kAnswer, entry, 0);
        Apply(entry, Tick(entry.m_batch, m_now));
      }
      while (!m_delayed.empty())
        HandleEvent(Event::kDeliverDelayed, m_entries[0], 0);
      m_now += 10ms;
    }
  }

  /// After RunWithoutFaults(): checks that a key is free unless its call was
  /// run, a live entry claims it, or a crashed entry may have claimed it.
  void CheckUnusedKeysAreFree() {
    for (size_t k = 0; k < kKeys; ++k) {
      const std::string key = KeyOf(k);
      if (m_runs[key] > 0 || m_orphaned.contains(key) || IsClaimed(key))
        continue;
      const auto item = ReadItem(m_table, key);
      RC_ASSERT(!item || StageOf(item->m_revision) == ClaimStage::kReleased);
    }
  }

  uint64_t steps() const { return m_steps; }

 private:
  static std::string KeyOf(size_t number) {
    return "acme/" + std::to_string(number);
  }

  bool IsClaimed(const std::string& key) const {
    for (const TestEntry& entry : m_entries) {
      for (const TestCall& call : entry.m_claimed) {
        if (call.m_key == key)
          return true;
      }
    }
    return false;
  }

  void HandleEvent(Event event, TestEntry& entry, uint32_t choice) {
    ++m_steps;
    switch (event) {
      case Event::kCall:
        return Call(entry, KeyOf(choice % kKeys));
      case Event::kAnswer:
      case Event::kLoseAfter:
      case Event::kLoseBefore:
      case Event::kDelay:
      case Event::kNotSent:
        return DeliverMessage(event, entry, choice);
      case Event::kDeliverDelayed:
        if (!m_delayed.empty()) {
          Write(m_table, m_delayed.back());
          m_delayed.pop_back();
        }
        return;
      case Event::kRun:
        return End(entry, true);
      case Event::kCancel:
        return End(entry, false);
      case Event::kAdvanceTime:
        m_now += std::chrono::milliseconds(choice % 600);
        return;
      case Event::kCrash:
        if (choice % 8 == 0)
          CrashEntry(entry);
        return;
      case Event::kCount:
        return;
    }
  }

  void Call(TestEntry& entry, std::string key) {
    const uint64_t writer = ++m_writers;
    // All claims use the same request id, because callers may reuse theirs. The
    // writer alone has to identify a claim.
    const uint64_t id = Submit(
        entry.m_batch, MakeClaim(key, writer, "same-id", m_now + kPatience));
    entry.m_calls[id] = {key, writer};
  }

  void DeliverMessage(Event event, TestEntry& entry, uint32_t choice) {
    if (entry.m_sent.empty())
      return;
    const size_t at = choice % entry.m_sent.size();
    const ClaimAction sent = entry.m_sent[at];
    entry.m_sent.erase(entry.m_sent.begin() + static_cast<ptrdiff_t>(at));
    if (sent.m_kind == ClaimAction::Kind::kRead) {
      Apply(entry, event == Event::kAnswer
                       ? ReadEnded(entry.m_batch, sent.m_id,
                                   ReadItem(m_table, sent.m_key), m_now)
                       : ReadFailed(entry.m_batch, sent.m_id, m_now));
      return;
    }
    GroupResult result = GroupResult::kLost;
    if (event == Event::kAnswer) {
      result = Write(m_table, sent.m_puts) ? GroupResult::kCommitted
                                           : GroupResult::kConflict;
    } else if (event == Event::kLoseAfter) {
      Write(m_table, sent.m_puts);
    } else if (event == Event::kDelay) {
      m_delayed.push_back(sent.m_puts);
    } else if (event == Event::kNotSent) {
      result = GroupResult::kNotSent;
    }
    Apply(entry, GroupEnded(entry.m_batch, sent.m_id, result, m_now));
  }

  void Apply(TestEntry& entry, const std::vector<ClaimAction>& actions) {
    for (const ClaimAction& action : actions) {
      if (action.m_kind == ClaimAction::Kind::kTransact ||
          action.m_kind == ClaimAction::Kind::kRead)
        entry.m_sent.push_back(action);
      else if (action.m_kind == ClaimAction::Kind::kReportResult)
        Settled(entry, action);
    }
  }

  void Settled(TestEntry& entry, const ClaimAction& action) {
    TestCall& call = entry.m_calls.at(action.m_id);
    RC_ASSERT(!call.m_settled);
    call.m_settled = true;
    if (call.m_step != Kind::kClaim)
      return;
    if (action.m_end == ClaimEnd::kDone)
      entry.m_claimed.push_back(call);
    else if (action.m_end == ClaimEnd::kAnswered)
      RC_ASSERT(action.m_value == m_outcomes[call.m_key]);
  }

  void End(TestEntry& entry, bool run) {
    if (entry.m_claimed.empty())
      return;
    TestCall call = entry.m_claimed.back();
    entry.m_claimed.pop_back();
    if (run) {
      ++m_runs[call.m_key];
      RC_ASSERT(m_runs[call.m_key] == 1);
      m_outcomes[call.m_key] = "run by " + std::to_string(call.m_writer);
    }
    call.m_step = run ? Kind::kRecord : Kind::kRelease;
    call.m_settled = false;
    const uint64_t id =
        Submit(entry.m_batch,
               MakeClaimEnd(call.m_step, call.m_key, call.m_writer,
                            run ? m_outcomes[call.m_key] : "", m_now + 1000s));
    entry.m_calls[id] = call;
  }

  /// Discards the state of `entry`. Writes that it has sent may still be
  /// executed.
  void CrashEntry(TestEntry& entry) {
    for (const ClaimAction& sent : entry.m_sent) {
      if (sent.m_kind == ClaimAction::Kind::kTransact)
        m_delayed.push_back(sent.m_puts);
    }
    for (const TestCall& call : entry.m_claimed)
      m_orphaned.insert(call.m_key);
    for (const auto& [id, operation] : entry.m_batch.m_pending_operations)
      m_orphaned.insert(operation.m_key);
    entry = TestEntry();
  }

  TimePoint m_now{};
  Table m_table;
  TestEntry m_entries[kEntries];
  std::vector<std::vector<ClaimPut>> m_delayed;
  std::map<std::string, int> m_runs;
  std::map<std::string, std::string> m_outcomes;
  /// Keys that a crashed entry may have claimed.
  std::set<std::string> m_orphaned;
  uint64_t m_writers = 0;
  uint64_t m_steps = 0;
};

class ClaimBatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClaimBatchTest);
  CPPUNIT_TEST(NeverRunsTwice);
  CPPUNIT_TEST(HeldKeyDoesNotFailItsGroup);
  CPPUNIT_TEST(LostAnswerIsReadBack);
  CPPUNIT_TEST(LateReleaseDoesNotFreeTheNextClaim);
  CPPUNIT_TEST(UnavailableTableRefusesAtOnce);
  CPPUNIT_TEST(GroupRateStaysWithinLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against running a key's call twice, and against a key that stays
  // held although its call was refused: callers would pay twice or could never
  // run the call. Three entries claim the same four keys. Writes and answers
  // are lost, delayed and refused; entries crash between claim, run and record.
  void NeverRunsTwice() {
    uint64_t steps = 0;
    const bool passed = rc::check("at most one run per key", [&steps] {
      const auto numbers = *rc::gen::container<std::vector<uint32_t>>(
          kEvents, rc::gen::inRange<uint32_t>(0, 1u << 30));
      Simulation simulation;
      for (uint32_t number : numbers)
        simulation.Step(number);
      steps += simulation.steps();
      simulation.RunWithoutFaults();
      simulation.CheckUnusedKeysAreFree();
    });
    CPPUNIT_ASSERT(passed);
    CPPUNIT_ASSERT(steps >= 20000);
  }

  // Guards against failing a whole group for one claim. Five claims share a
  // transaction, which the table rejects as a whole because another entry holds
  // the fifth key. The first four have to succeed; the fifth has to be reported
  // as held.
  void HeldKeyDoesNotFailItsGroup() {
    ClaimBatchState batch;
    Table table;
    table["k4"] = {ClaimRevision(99, ClaimStage::kClaimed), "other"};
    for (uint64_t i = 0; i < 5; ++i)
      Submit(batch, MakeClaim("k" + std::to_string(i), i + 1, "r", At(5s)));
    const auto ends = RunAll(batch, table);
    for (uint64_t id = 1; id <= 4; ++id)
      CPPUNIT_ASSERT(ends.at(id) == ClaimEnd::kDone);
    CPPUNIT_ASSERT(ends.at(5) == ClaimEnd::kHeld);
  }

  // Guards against refusing a claim that was written but whose answer was lost.
  // Reading the key back finds the writer of the claim, so the claim succeeds.
  // A second call with the same request id has another writer and has to be
  // reported as held.
  void LostAnswerIsReadBack() {
    ClaimBatchState batch;
    Table table;
    Submit(batch, MakeClaim("k", 1, "same-id", At(5s)));
    auto actions = Tick(batch, At(0s));
    Write(table, actions.at(0).m_puts);
    actions = GroupEnded(batch, actions.at(0).m_id, GroupResult::kLost, At(1s));
    CPPUNIT_ASSERT(actions.at(0).m_kind == ClaimAction::Kind::kRead);
    actions = ReadEnded(batch, 1, ReadItem(table, "k"), At(1s));
    CPPUNIT_ASSERT(actions.at(0).m_end == ClaimEnd::kDone);
    const uint64_t retried =
        Submit(batch, MakeClaim("k", 2, "same-id", At(5s)));
    CPPUNIT_ASSERT(RunAll(batch, table).at(retried) == ClaimEnd::kHeld);
  }

  // Guards against a late release that frees the claim of the next caller,
  // whose call would then run twice. The answer to the first caller's release
  // is lost, the second caller claims the key, and the release arrives a second
  // time. If its condition were only the stage "claimed", it would free the
  // key.
  void LateReleaseDoesNotFreeTheNextClaim() {
    Table table;
    const uint64_t first = ClaimRevision(1, ClaimStage::kClaimed);
    const std::vector<ClaimPut> release = {
        {"k", {ClaimRevision(1, ClaimStage::kReleased), ""}, first}};
    table["k"] = {first, "a"};
    CPPUNIT_ASSERT(Write(table, release));
    ClaimBatchState batch;
    const uint64_t id = Submit(batch, MakeClaim("k", 2, "b", At(5s)));
    CPPUNIT_ASSERT(RunAll(batch, table).at(id) == ClaimEnd::kDone);
    CPPUNIT_ASSERT(!Write(table, release));
  }

  // Guards against callers that wait for a timeout while the table is
  // unavailable. After three groups without an answer, a new claim is refused
  // at once and nothing is sent.
  void UnavailableTableRefusesAtOnce() {
    ClaimBatchState batch;
    TimePoint now = At(0s);
    for (uint32_t i = 0; i < kMaxConsecutiveFailures; ++i) {
      Submit(batch, MakeClaim("k" + std::to_string(i), i + 1, "r", At(9s)));
      const auto sent = Tick(batch, now);
      GroupEnded(batch, sent.at(0).m_id, GroupResult::kLost, now);
      now += 100ms;
    }
    const uint64_t id = Submit(batch, MakeClaim("new", 9, "r", At(9s)));
    const auto actions = Tick(batch, now);
    CPPUNIT_ASSERT_EQUAL(id, actions.at(0).m_id);
    CPPUNIT_ASSERT(actions.at(0).m_end == ClaimEnd::kUnavailable);
  }

  // Guards against overloading the table: 2,000 claims per second at each of 8
  // entries have to fit into 300 transactions per second.
  void GroupRateStaysWithinLimit() {
    ClaimBatchState batch;
    batch.m_interval = GroupInterval(8);
    Table table;
    uint64_t groups = 0;
    for (int ms = 0; ms < 1000; ++ms) {
      for (int i = 0; i < 2; ++i) {
        ++m_writer;
        Submit(batch,
               MakeClaim(std::to_string(m_writer), m_writer, "r", At(5s)));
      }
      for (const auto& action :
           Tick(batch, At(std::chrono::milliseconds(ms)))) {
        if (action.m_kind != ClaimAction::Kind::kTransact)
          continue;
        ++groups;
        GroupEnded(batch, action.m_id, GroupResult::kCommitted,
                   At(std::chrono::milliseconds(ms)));
      }
    }
    CPPUNIT_ASSERT(groups * 8 <= kGroupsPerSecond + 8);
    CPPUNIT_ASSERT(groups >= 30);
    CPPUNIT_ASSERT(batch.m_pending_operations.size() < kMaxGroupItems);
  }

 private:
  static TimePoint At(Duration since) { return TimePoint(since); }

  /// Executes all actions of `batch` and returns how each operation ended.
  static std::map<uint64_t, ClaimEnd> RunAll(ClaimBatchState& batch,
                                             Table& table) {
    std::map<uint64_t, ClaimEnd> ends;
    TimePoint now = At(2s);
    std::deque<ClaimAction> queue;
    const auto add = [&queue](const std::vector<ClaimAction>& actions) {
      queue.insert(queue.end(), actions.begin(), actions.end());
    };
    add(Tick(batch, now));
    while (!queue.empty()) {
      const ClaimAction action = queue.front();
      queue.pop_front();
      now += 1ms;
      if (action.m_kind == ClaimAction::Kind::kReportResult) {
        ends[action.m_id] = action.m_end;
      } else if (action.m_kind == ClaimAction::Kind::kTransact) {
        const bool done = Write(table, action.m_puts);
        add(GroupEnded(batch, action.m_id,
                       done ? GroupResult::kCommitted : GroupResult::kConflict,
                       now));
      } else if (action.m_kind == ClaimAction::Kind::kRead) {
        add(ReadEnded(batch, action.m_id, ReadItem(table, action.m_key), now));
      } else {
        now = std::max(now, action.m_at);
        add(Tick(batch, now));
      }
    }
    return ends;
  }

  uint64_t m_writer = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimBatchTest);

}  // namespace
}  // namespace verbenalead::decide
