#include "decide/rollout.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <deque>
#include <sstream>

namespace verbenalead::decide {
namespace {

using Kind = RolloutAction::Kind;

constexpr int kHosts = 6;
constexpr uint32_t kPercent = 34;  // Of six hosts: two at once.
constexpr int kVersions = 3;
/// RapidCheck takes half as many commands on average. Many short runs find more
/// than few long ones, which soon have a stopped rollout or a crowd of paused
/// processes.
constexpr int kCommands = 120;
constexpr int kWorlds = 40;
constexpr uint64_t kLeastSteps = 20000;
constexpr Duration kShortTime = 700ms;
constexpr Duration kLongTime = 20s;

Digest VersionDigest(int number) {
  return Sha256("version " + std::to_string(number));
}

/// An engine that may ignore fencing numbers. Its memory is a list of bytes,
/// each known to the oracle by the version that it came from.
struct FakeEngine {
  bool m_checks_fence = false;
  uint64_t m_fence = 0;
  std::vector<Digest> m_bytes;

  /// The version of all bytes; empty while there are none or they differ.
  Digest Whole() const {
    if (m_bytes.empty())
      return {};
    for (const Digest& byte : m_bytes) {
      if (byte != m_bytes.front())
        return {};
    }
    return m_bytes.front();
  }
};

/// An order on its way into an engine. Overtaken by a pause of its sender, it
/// may reach the engine at any later time, half by half.
struct Order {
  int m_engine = 0;
  Digest m_digest;
  uint64_t m_fence = 0;
};

constexpr size_t kBytes = 2;

/// One run of a target process.
struct Process {
  int m_host = 0;
  RolloutState m_state;
  GateState m_gate;
  bool m_minted = false;
  bool m_frozen = false;
  /// The rollout shut its gate and nothing hindered this process since.
  TimePoint m_last_step{};
  bool m_hindered = false;
  /// The answer to its order has not come yet.
  std::optional<RolloutAction> m_order;
  /// A request in the gate: the version of the bytes that it read first.
  std::optional<Attempt> m_request;
  uint64_t m_request_generation = 0;
  std::vector<Digest> m_read;
};

struct World {
  TimePoint m_now{};
  RolloutPlan m_plan;
  PermitBoard m_board;
  bool m_table_up = true;
  std::map<int, std::pair<uint64_t, uint64_t>> m_fences;  // host: number, owner
  std::vector<FakeEngine> m_engines{kHosts};
  std::vector<Process> m_processes;
  std::vector<Order> m_orders;
  uint64_t m_next_owner = 1;
  uint64_t m_answers = 0;
  uint64_t m_loads = 0;
};

Process MakeProcess(World& world, int host) {
  Process process;
  process.m_host = host;
  const uint64_t owner = world.m_next_owner++;
  process.m_state = StartRollout("host-" + std::to_string(host), owner);
  process.m_gate.m_incarnation = owner;
  process.m_gate.m_capacity = 4;
  process.m_last_step = world.m_now;
  return process;
}

World MakeWorld(uint32_t fence_checkers) {
  World world;
  world.m_plan.m_max_unavailable_percent = kPercent;
  world.m_plan.m_hosts = kHosts;
  world.m_plan.m_revision = 1;
  for (int number = 0; number < kVersions; ++number)
    world.m_plan.m_declared[VersionDigest(number)] = std::to_string(number);
  // In half of the worlds nothing is declared at first.
  if (fence_checkers >> kHosts & 1)
    world.m_plan.m_digest = VersionDigest(0);
  for (int host = 0; host < kHosts; ++host) {
    world.m_engines[host].m_checks_fence = fence_checkers >> host & 1;
    world.m_processes.push_back(MakeProcess(world, host));
  }
  return world;
}

bool IsNewest(const World& world, const Process& process) {
  for (const Process& other : world.m_processes) {
    if (other.m_host == process.m_host &&
        other.m_gate.m_incarnation > process.m_gate.m_incarnation)
      return false;
  }
  return true;
}

void Mint(World& world, Process& process) {
  if (!world.m_table_up)
    return;
  auto& [number, owner] = world.m_fences[process.m_host];
  const uint64_t us = process.m_gate.m_incarnation;
  if (process.m_minted && owner != us) {
    Deposed(process.m_state, process.m_gate);
    return;
  }
  process.m_minted = true;
  owner = us;
  FenceMinted(process.m_state, ++number);
}

void Write(World& world,
           Process& process,
           const PermitBoard& board,
           bool lose_answer) {
  if (!world.m_table_up) {
    PermitsWritten(process.m_state, process.m_gate, WriteResult::kDoubt,
                   world.m_now, world.m_now);
    return;
  }
  const bool good = board.m_revision == world.m_board.m_revision + 1;
  if (good)
    world.m_board = board;
  WriteResult result = good ? WriteResult::kCommitted : WriteResult::kConflict;
  if (lose_answer)
    result = WriteResult::kDoubt;
  PermitsWritten(process.m_state, process.m_gate, result, world.m_now,
                 world.m_now);
}

/// One byte of the order's weights goes into the engine. True at the last one.
bool Obey(World& world, Order& order, size_t at) {
  FakeEngine& engine = world.m_engines[order.m_engine];
  if (engine.m_checks_fence && order.m_fence < engine.m_fence)
    return true;
  engine.m_fence = std::max(engine.m_fence, order.m_fence);
  engine.m_bytes.resize(kBytes);
  engine.m_bytes[at] = order.m_digest;
  return at + 1 == kBytes;
}

void Act(World& world, Process& process, bool lose_answer) {
  if (process.m_order)
    return;
  RolloutAction action =
      NextStep(process.m_state, process.m_gate, world.m_plan, world.m_now);
  switch (action.m_kind) {
    case Kind::kNone:
      break;
    case Kind::kFetch:
      Fetched(process.m_state, action.m_digest);
      break;
    case Kind::kReadPermits:
      PermitsRead(process.m_state,
                  world.m_table_up ? std::optional<PermitBoard>(world.m_board)
                                   : std::nullopt,
                  world.m_now);
      break;
    case Kind::kWritePermits:
      Write(world, process, action.m_board, lose_answer);
      break;
    case Kind::kMintFence:
      Mint(world, process);
      break;
    case Kind::kOrder:
      RC_ASSERT(!process.m_gate.m_open);
      RC_ASSERT(process.m_gate.m_running == 0U);
      RC_ASSERT(!process.m_state.m_shut_for_load ||
                world.m_board.m_permits.contains(process.m_state.m_host));
      process.m_order = action;
      ++world.m_loads;
      world.m_orders.push_back(
          {process.m_host, action.m_digest, action.m_fence});
      break;
    case Kind::kAskEngine:
      EngineAnswered(process.m_state, process.m_gate, world.m_plan,
                     world.m_engines[process.m_host].Whole(), action.m_doubt,
                     world.m_now);
      break;
  }
}

void Renew(World& world, Process& process) {
  if (!world.m_table_up || !RenewalDue(process.m_state, world.m_now))
    return;
  const auto next = Renewed(process.m_state, world.m_board);
  if (!next)
    return;
  world.m_board = *next;
  RenewalWritten(process.m_state, world.m_now);
}

void Poll(World& world, Process& process) {
  if (process.m_frozen)
    return;
  EngineSeen(process.m_state, process.m_gate,
             world.m_engines[process.m_host].Whole());
}

void Step(World& world, Process& process, bool lose_answer) {
  if (process.m_frozen)
    return;
  if (world.m_now - process.m_last_step > kPermitHold)
    process.m_hindered = true;
  process.m_last_step = world.m_now;
  if (process.m_gate.m_open || !process.m_state.m_shut_for_load)
    process.m_hindered = false;
  Renew(world, process);
  Act(world, process, lose_answer);
  RC_ASSERT(!process.m_gate.m_open || !process.m_gate.m_digest.empty());
}

/// Hosts that do not serve because the rollout shut them, and for no fault.
uint32_t ShutByRollout(const World& world) {
  uint32_t shut = 0;
  for (const Process& process : world.m_processes) {
    const bool paused = world.m_now - process.m_last_step > kPermitHold;
    if (process.m_state.m_shut_for_load && !process.m_gate.m_open &&
        !process.m_hindered && !paused && IsNewest(world, process) &&
        !process.m_state.m_deposed)
      ++shut;
  }
  return shut;
}

/// What a run of commands is checked against is in the world itself, so the
/// model that RapidCheck keeps beside it holds nothing.
struct Nothing {};
using Command = rc::state::Command<Nothing, World>;

/// A command with a number, which names the host and whatever else it needs.
struct NumberedCommand : Command {
  uint32_t m_number = *rc::gen::arbitrary<uint32_t>();

  Process& ProcessOf(World& world) const {
    return world.m_processes[m_number % world.m_processes.size()];
  }
};

struct StepAll : NumberedCommand {
  void run(const Nothing&, World& world) const override {
    // A bit for each process: those that are not named are paused.
    for (size_t i = 0; i < world.m_processes.size(); ++i) {
      if (m_number >> (i % 16) & 1)
        Step(world, world.m_processes[i], (m_number >> 20) % 8 == 0);
    }
    RC_ASSERT(ShutByRollout(world) <= MaxUnavailable(world.m_plan));
  }
  void show(std::ostream& os) const override { os << "StepAll " << m_number; }
};

/// Orders get into the engines byte by byte, in any order of senders.
struct EngineWorks : NumberedCommand {
  void run(const Nothing&, World& world) const override {
    if (world.m_orders.empty())
      return;
    const size_t at = m_number % world.m_orders.size();
    Order order = world.m_orders[at];
    const bool half = (m_number >> 8) % 4 == 0;
    for (size_t i = 0; i < (half ? 1 : kBytes); ++i) {
      if (Obey(world, order, i))
        break;
    }
    if (!half || (m_number >> 12) % 2)
      world.m_orders.erase(world.m_orders.begin() +
                           static_cast<std::ptrdiff_t>(at));
    for (Process& process : world.m_processes) {
      if (process.m_order && process.m_order->m_fence == order.m_fence &&
          process.m_host == order.m_engine) {
        OrderEnded(process.m_state, process.m_gate, half ? "broken" : "");
        process.m_order.reset();
      }
    }
  }
  /// All orders get through.
  static void Whole(World& world) {
    EngineWorks works;
    works.m_number = 1 << 8;
    while (!world.m_orders.empty())
      works.run(Nothing(), world);
  }
  void show(std::ostream& os) const override { os << "Engine " << m_number; }
};

/// All processes run for two or twenty seconds; in half of the cases engines
/// obey.
struct RunOn : NumberedCommand {
  void run(const Nothing&, World& world) const override {
    const int rounds = m_number % 6 == 0 ? 400 : 40;
    for (int round = 0; round < rounds; ++round) {
      world.m_now += 50ms;
      if (m_number % 2)
        EngineWorks::Whole(world);
      for (Process& process : world.m_processes) {
        Step(world, process, false);
        if (round == 0)
          Poll(world, process);
      }
      RC_ASSERT(ShutByRollout(world) <= MaxUnavailable(world.m_plan));
    }
  }
  void show(std::ostream& os) const override { os << "RunOn " << m_number; }
};

struct PassTime : NumberedCommand {
  void run(const Nothing&, World& world) const override {
    world.m_now += m_number % 4 == 0 ? kLongTime : kShortTime;
  }
  void show(std::ostream& os) const override { os << "PassTime " << m_number; }
};

struct Declare : NumberedCommand {
  void run(const Nothing&, World& world) const override {
    world.m_plan.m_digest = VersionDigest(m_number % kVersions);
    world.m_plan.m_paused = (m_number >> 8) % 5 == 0;
    ++world.m_plan.m_revision;
  }
  void show(std::ostream& os) const override { os << "Declare " << m_number; }
};

struct SwitchTable : NumberedCommand {
  void run(const Nothing&, World& world) const override {
    world.m_table_up = m_number % 3 != 0;
  }
  void show(std::ostream& os) const override { os << "Table " << m_number; }
};

/// The answer to an order is lost; the order itself may still arrive.
struct LoseOrderAnswer : NumberedCommand {
  void run(const Nothing&, World& world) const override {
    Process& process = ProcessOf(world);
    if (!process.m_order)
      return;
    process.m_order.reset();
    OrderEnded(process.m_state, process.m_gate, "timeout");
  }
  void show(std::ostream& os) const override { os << "LoseAns " << m_number; }
};

struct RestartEngine : NumberedCommand {
  void run(const Nothing&, World& world) const override {
    FakeEngine& engine = world.m_engines[m_number % kHosts];
    engine.m_bytes.clear();
    engine.m_fence = 0;
  }
  void show(std::ostream& os) const override { os << "Restart " << m_number; }
};

/// Freezes a process, or wakes it.
struct Freeze : NumberedCommand {
  void run(const Nothing&, World& world) const override {
    Process& process = ProcessOf(world);
    process.m_frozen = !process.m_frozen;
  }
  void show(std::ostream& os) const override { os << "Freeze " << m_number; }
};

/// A host's process dies or freezes, and another one takes its place; a frozen
/// one wakes when StepAll next names it.
struct ReplaceProcess : NumberedCommand {
  void run(const Nothing&, World& world) const override {
    const int host = static_cast<int>(m_number % kHosts);
    if (const bool dies = (m_number >> 8) % 2; dies) {
      std::erase_if(world.m_processes,
                    [&](const Process& p) { return p.m_host == host; });
    } else if (world.m_processes.size() > 2 * kHosts) {
      return;
    }
    world.m_processes.push_back(MakeProcess(world, host));
  }
  void show(std::ostream& os) const override { os << "Replace " << m_number; }
};

/// Requests enter wherever they may, and read the engine's bytes.
struct BeginRequests : NumberedCommand {
  void run(const Nothing&, World& world) const override {
    for (Process& process : world.m_processes) {
      const Attempt attempt{"r" + std::to_string(m_number), 1};
      if (process.m_request ||
          Enter(process.m_gate, attempt, process.m_gate.m_incarnation, {},
                world.m_now) != EnterResult::kEntered)
        continue;
      process.m_request = attempt;
      process.m_request_generation = process.m_gate.m_generation;
      process.m_read = world.m_engines[process.m_host].m_bytes;
    }
  }
  void show(std::ostream& os) const override { os << "Begin " << m_number; }
};

/// The answer of `process` ends. The oracle knows the version of each byte.
void EndRequest(World& world, Process& process) {
  FakeEngine engine;
  engine.m_bytes = process.m_read;
  if (MayPass(process.m_gate, process.m_request_generation, engine.Whole())) {
    ++world.m_answers;
    RC_ASSERT(process.m_read.size() == kBytes);
    for (const Digest& byte : process.m_read)
      RC_ASSERT(byte == process.m_gate.m_digest);
  }
  Leave(process.m_gate, *process.m_request, world.m_now);
  process.m_request.reset();
}

struct EndRequests : NumberedCommand {
  void run(const Nothing&, World& world) const override {
    for (Process& process : world.m_processes) {
      if (process.m_request)
        EndRequest(world, process);
    }
  }
  void show(std::ostream& os) const override { os << "End " << m_number; }
};

/// What came of many runs.
struct Totals {
  uint64_t m_steps = 0;
  uint64_t m_answers = 0;
  uint64_t m_loads = 0;
};

template <typename... Commands>
World RunCommands(Totals& totals) {
  World world = MakeWorld(*rc::gen::arbitrary<uint32_t>());
  const auto commands = *rc::gen::resize(
      kCommands,
      rc::state::gen::commands(
          Nothing(), rc::state::gen::execOneOfWithArgs<Commands...>()));
  rc::state::runAll(commands, Nothing(), world);
  totals.m_steps += commands.size();
  totals.m_answers += world.m_answers;
  totals.m_loads += world.m_loads;
  return world;
}

void EndAllFaults(World& world) {
  for (Process& process : world.m_processes)
    process.m_frozen = false;
  world.m_table_up = true;
  world.m_plan.m_paused = false;
  if (world.m_plan.m_digest.empty())
    world.m_plan.m_digest = VersionDigest(0);
  ++world.m_plan.m_revision;
}

/// A hundred seconds without a fault.
void RunInPeace(World& world) {
  constexpr int kRounds = 2000;
  for (int round = 0; round < kRounds; ++round) {
    world.m_now += 50ms;
    EngineWorks::Whole(world);
    for (Process& process : world.m_processes) {
      Step(world, process, false);
      if (round % 20 == 0)
        Poll(world, process);
    }
  }
}

void AssertAtRest(const World& world) {
  for (const Process& process : world.m_processes) {
    const bool at_rest = process.m_gate.m_open &&
                         process.m_gate.m_digest == world.m_plan.m_digest;
    if (!at_rest) {
      RC_LOG(process.m_state.m_host + ": " + ToString(process.m_state.m_stage) +
             " " + process.m_state.m_reason);
    }
    RC_ASSERT(at_rest);
    RC_ASSERT(world.m_engines[process.m_host].Whole() == world.m_plan.m_digest);
  }
  RC_ASSERT(world.m_board.m_permits.empty());
}

class RolloutTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutTest);
  CPPUNIT_TEST(ServesWholeVersionsWithinTheBound);
  CPPUNIT_TEST(ComesToRestOnTheDeclaredVersion);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A caller would get text of mixed weights, or find too few hosts serving.
  // Processes pause and wake at any step, doubled or replaced; orders reach
  // engines late, half, or after their sender's end; engines restart and ignore
  // fencing numbers; answers of table and engine are lost.
  void ServesWholeVersionsWithinTheBound() {
    Totals totals;
    CPPUNIT_ASSERT(rc::check("whole versions, within the bound", [&] {
      for (int i = 0; i < kWorlds; ++i) {
        RunCommands<StepAll, StepAll, StepAll, StepAll, RunOn, RunOn, PassTime,
                    Declare, SwitchTable, EngineWorks, EngineWorks,
                    LoseOrderAnswer, RestartEngine, Freeze, Freeze,
                    ReplaceProcess, BeginRequests, EndRequests>(totals);
      }
    }));
    std::cerr << "rollout: " << totals.m_steps << " steps, " << totals.m_answers
              << " answers, " << totals.m_loads << " loads\n";
    CPPUNIT_ASSERT(totals.m_steps >= kLeastSteps);
    CPPUNIT_ASSERT(totals.m_answers > 1000);
    CPPUNIT_ASSERT(totals.m_loads > 1000);
  }

  // Operators would wait for a rollout that never ends.
  // After any run of faults everything works again and nothing is paused: each
  // process must come to serve the declared version, all permits be given back.
  void ComesToRestOnTheDeclaredVersion() {
    Totals totals;
    CPPUNIT_ASSERT(rc::check("comes to rest", [&] {
      for (int i = 0; i < kWorlds; ++i) {
        World world =
            RunCommands<StepAll, StepAll, RunOn, RunOn, PassTime, Declare,
                        SwitchTable, EngineWorks, LoseOrderAnswer,
                        RestartEngine, Freeze, Freeze>(totals);
        EndAllFaults(world);
        RunInPeace(world);
        AssertAtRest(world);
      }
    }));
    CPPUNIT_ASSERT(totals.m_steps >= kLeastSteps);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutTest);

}  // namespace
}  // namespace verbenalead::decide
