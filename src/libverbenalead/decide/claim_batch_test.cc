#include "decide/claim_batch.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>

namespace verbenalead::decide {
namespace {

constexpr size_t kEntries = 3;
constexpr size_t kKeys = 4;
constexpr Duration kPatience = 2s;
/// Events in one run of the property; RapidCheck makes 100 of them.
constexpr size_t kEvents = 250;

using Kind = ClaimWork::Kind;
using Table = std::map<std::string, ClaimItem>;

/// All conditions hold, or nothing is written.
bool Write(Table& table, const std::vector<ClaimPut>& puts) {
  for (const ClaimPut& put : puts) {
    auto found = table.find(put.m_key);
    const uint64_t there = found == table.end() ? 0 : found->second.m_revision;
    if (there != put.m_expected)
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

/// A call as its entry sees it.
struct TestCall {
  std::string m_key;
  uint64_t m_writer = 0;
  Kind m_step = Kind::kClaim;
  bool m_ran = false;
  bool m_settled = false;
};

/// One entry's batch, what it has sent, and its calls by work.
struct TestEntry {
  ClaimBatchState m_batch;
  std::vector<ClaimAction> m_sent;
  std::map<uint64_t, TestCall> m_calls;
  /// Calls whose claim is ours and that have not ended.
  std::vector<TestCall> m_claimed;
};

/// What may happen; each takes its choices from one number.
enum class Event {
  kCall,
  kAnswer,      ///< The oldest message is carried out and answered.
  kLoseAfter,   ///< It is carried out; the answer is lost.
  kLoseBefore,  ///< It is lost on its way.
  kDelay,       ///< It counts as lost, and is carried out later.
  kArrive,      ///< A delayed write arrives.
  kNotSent,
  kRun,
  kCancel,  ///< A claimed call is not run after all.
  kPass,    ///< Time passes.
  kDie,
  kCount,
};

/// Several entries, one table, and the oracle: how often each key ran.
class World {
 public:
  void Step(uint32_t number) {
    const auto event =
        static_cast<Event>(number % static_cast<uint32_t>(Event::kCount));
    const uint32_t choice = number / static_cast<uint32_t>(Event::kCount);
    TestEntry& entry = m_entries[choice % kEntries];
    Happen(event, entry, choice / kEntries);
    Apply(entry, Tick(entry.m_batch, m_now));
  }

  /// The table works again and nobody dies: all that is under way ends.
  void Calm() {
    for (int round = 0; round < 2000; ++round) {
      for (TestEntry& entry : m_entries) {
        Happen(Event::kAnswer, entry, 0);
        Apply(entry, Tick(entry.m_batch, m_now));
      }
      while (!m_delayed.empty())
        Happen(Event::kArrive, m_entries[0], 0);
      m_now += 10ms;
    }
  }

  /// After Calm(): a key that no living or dead entry may have run is free.
  void CheckFree() {
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

  void Happen(Event event, TestEntry& entry, uint32_t choice) {
    ++m_steps;
    switch (event) {
      case Event::kCall:
        return Call(entry, KeyOf(choice % kKeys));
      case Event::kAnswer:
      case Event::kLoseAfter:
      case Event::kLoseBefore:
      case Event::kDelay:
      case Event::kNotSent:
        return Carry(event, entry, choice);
      case Event::kArrive:
        if (!m_delayed.empty()) {
          Write(m_table, m_delayed.back());
          m_delayed.pop_back();
        }
        return;
      case Event::kRun:
        return End(entry, true);
      case Event::kCancel:
        return End(entry, false);
      case Event::kPass:
        m_now += std::chrono::milliseconds(choice % 600);
        return;
      case Event::kDie:
        if (choice % 8 == 0)
          Die(entry);
        return;
      case Event::kCount:
        return;
    }
  }

  void Call(TestEntry& entry, std::string key) {
    const uint64_t writer = ++m_writers;
    // Callers repeat their request id: it must not matter.
    const uint64_t id = Submit(
        entry.m_batch, MakeClaim(key, writer, "same-id", m_now + kPatience));
    entry.m_calls[id] = {key, writer};
  }

  void Carry(Event event, TestEntry& entry, uint32_t choice) {
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
      else if (action.m_kind == ClaimAction::Kind::kSettle)
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
               MakeEnd(call.m_step, call.m_key, call.m_writer,
                       run ? m_outcomes[call.m_key] : "", m_now + 1000s));
    entry.m_calls[id] = call;
  }

  /// All that the entry knew is gone; what it has sent may still arrive.
  void Die(TestEntry& entry) {
    for (const ClaimAction& sent : entry.m_sent) {
      if (sent.m_kind == ClaimAction::Kind::kTransact)
        m_delayed.push_back(sent.m_puts);
    }
    for (const TestCall& call : entry.m_claimed)
      m_orphaned.insert(call.m_key);
    for (const auto& [id, work] : entry.m_batch.m_works)
      m_orphaned.insert(work.m_key);
    entry = TestEntry();
  }

  TimePoint m_now{};
  Table m_table;
  TestEntry m_entries[kEntries];
  std::vector<std::vector<ClaimPut>> m_delayed;
  std::map<std::string, int> m_runs;
  std::map<std::string, std::string> m_outcomes;
  /// Keys whose claim may have died with its entry.
  std::set<std::string> m_orphaned;
  uint64_t m_writers = 0;
  uint64_t m_steps = 0;
};

class ClaimBatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClaimBatchTest);
  CPPUNIT_TEST(NeverRunsTwice);
  CPPUNIT_TEST(RepeatedCallDoesNotFailItsGroup);
  CPPUNIT_TEST(LostAnswerIsReadBack);
  CPPUNIT_TEST(LateReleaseDoesNotFreeTheNextClaim);
  CPPUNIT_TEST(DeadTableRefusesAtOnce);
  CPPUNIT_TEST(WritesStayFewAtAnyRate);
  CPPUNIT_TEST_SUITE_END();

 public:
  // No caller's payment is taken twice, and none that was refused is taken.
  // Three entries claim four keys; calls repeat through other entries; writes
  // and answers are lost, late and refused; entries die between claim, run and
  // record. An oracle counts the runs of each key.
  void NeverRunsTwice() {
    uint64_t steps = 0;
    const bool good = rc::check("at most one run per key", [&steps] {
      const auto numbers = *rc::gen::container<std::vector<uint32_t>>(
          kEvents, rc::gen::inRange<uint32_t>(0, 1u << 30));
      World world;
      for (uint32_t number : numbers)
        world.Step(number);
      steps += world.steps();
      world.Calm();
      world.CheckFree();
    });
    CPPUNIT_ASSERT(good);
    CPPUNIT_ASSERT(steps >= 20000);
  }

  // Four callers hear that their calls run; the fifth, who repeats a key that
  // another entry holds, hears so. All five stand in one transaction, which
  // the table cancels as a whole because of the fifth.
  void RepeatedCallDoesNotFailItsGroup() {
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

  // The caller's call runs, once. Its claim was written and the answer lost;
  // reading it back finds this attempt's writer. A second call with the same
  // request id has another writer, and hears that the key is held.
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
    const uint64_t again = Submit(batch, MakeClaim("k", 2, "same-id", At(5s)));
    CPPUNIT_ASSERT(RunAll(batch, table).at(again) == ClaimEnd::kHeld);
  }

  // The second caller's call runs once. The first one's claim is released, but
  // the answer is lost, the second caller claims, and the release arrives a
  // second time. Were its condition only "claimed", it would free the key.
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

  // The caller hears "not run" without waiting for a timeout. Three groups got
  // no answer, so the table counts as down and nothing is sent.
  void DeadTableRefusesAtOnce() {
    ClaimBatchState batch;
    TimePoint now = At(0s);
    for (uint32_t i = 0; i < kFailuresUntilDown; ++i) {
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

  // 2,000 claims a second at each of 8 entries fit into 300 transactions.
  void WritesStayFewAtAnyRate() {
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
    CPPUNIT_ASSERT(batch.m_works.size() < kMaxGroupItems);
  }

 private:
  static TimePoint At(Duration since) { return TimePoint(since); }

  /// Carries out all that `batch` asks for; how each work ended.
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
      if (action.m_kind == ClaimAction::Kind::kSettle) {
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
