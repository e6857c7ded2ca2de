#include "decide/rollout/rollout.h"

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
/// Maximum number of commands per run; RapidCheck uses half of it on average.
/// Many short runs find more faults than a few long ones, because a long run
/// soon reaches a stopped rollout or a large number of suspended processes.
constexpr int kCommands = 120;
constexpr int kSimulations = 40;
constexpr uint64_t kMinSteps = 20000;
constexpr Duration kShortTime = 700ms;
constexpr Duration kLongTime = 20s;

Digest VersionDigest(int number) {
  return Sha256("version " + std::to_string(number));
}

/// An engine that may ignore fencing tokens. Its memory is a list of bytes;
/// each element is the version from which the byte was loaded.
struct FakeEngine {
  bool m_checks_fence = false;
  uint64_t m_fencing_token = 0;
  std::vector<Digest> m_bytes;

  /// Returns the version of all bytes, or an empty digest if there are none or
  /// their versions differ.
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

/// A load order in transit to an engine. It may reach the engine at any later
/// time, even after its sender was suspended, and may be executed in parts.
struct Order {
  int m_engine = 0;
  Digest m_digest;
  uint64_t m_fencing_token = 0;
};

constexpr size_t kBytes = 2;

/// One run of a target process.
struct Process {
  int m_host = 0;
  RolloutState m_state;
  GateState m_gate;
  bool m_minted = false;
  bool m_frozen = false;
  TimePoint m_last_step{};
  /// The process took no step for longer than kPermitHoldTime, and the gate
  /// that the rollout shut has not opened since.
  bool m_suspended_while_shut = false;
  /// The order whose answer has not arrived yet.
  std::optional<RolloutAction> m_order;
  /// A request that the gate admitted, and the engine's bytes at its start.
  std::optional<Attempt> m_request;
  uint64_t m_request_generation = 0;
  std::vector<Digest> m_read;
};

struct Simulation {
  TimePoint m_now{};
  RolloutPlan m_plan;
  LoadPermits m_load_permits;
  bool m_table_up = true;
  std::map<int, std::pair<uint64_t, uint64_t>> m_fences;  // host: number, owner
  std::vector<FakeEngine> m_engines{kHosts};
  std::vector<Process> m_processes;
  std::vector<Order> m_orders;
  uint64_t m_next_owner = 1;
  uint64_t m_answers = 0;
  uint64_t m_loads = 0;
};

Process MakeProcess(Simulation& simulation, int host) {
  Process process;
  process.m_host = host;
  const uint64_t owner = simulation.m_next_owner++;
  process.m_state = StartRollout("host-" + std::to_string(host), owner);
  process.m_gate.m_incarnation = owner;
  process.m_gate.m_capacity = 4;
  process.m_last_step = simulation.m_now;
  return process;
}

Simulation MakeSimulation(uint32_t fence_checkers) {
  Simulation simulation;
  simulation.m_plan.m_max_unavailable_percent = kPercent;
  simulation.m_plan.m_hosts = kHosts;
  simulation.m_plan.m_revision = 1;
  for (int number = 0; number < kVersions; ++number)
    simulation.m_plan.m_declared[VersionDigest(number)] =
        std::to_string(number);
  // In half of the simulations no version is declared at first.
  if (fence_checkers >> kHosts & 1)
    simulation.m_plan.m_digest = VersionDigest(0);
  for (int host = 0; host < kHosts; ++host) {
    simulation.m_engines[host].m_checks_fence = fence_checkers >> host & 1;
    simulation.m_processes.push_back(MakeProcess(simulation, host));
  }
  return simulation;
}

bool IsNewest(const Simulation& simulation, const Process& process) {
  for (const Process& other : simulation.m_processes) {
    if (other.m_host == process.m_host &&
        other.m_gate.m_incarnation > process.m_gate.m_incarnation)
      return false;
  }
  return true;
}

void Mint(Simulation& simulation, Process& process) {
  if (!simulation.m_table_up)
    return;
  auto& [number, owner] = simulation.m_fences[process.m_host];
  const uint64_t own = process.m_gate.m_incarnation;
  if (process.m_minted && owner != own) {
    Superseded(process.m_state, process.m_gate);
    return;
  }
  process.m_minted = true;
  owner = own;
  FencingTokenMinted(process.m_state, ++number);
}

void Write(Simulation& simulation,
           Process& process,
           const LoadPermits& permits,
           bool lose_answer) {
  if (!simulation.m_table_up) {
    PermitsWritten(process.m_state, process.m_gate, WriteResult::kDoubt,
                   simulation.m_now, simulation.m_now);
    return;
  }
  const bool committed =
      permits.m_revision == simulation.m_load_permits.m_revision + 1;
  if (committed)
    simulation.m_load_permits = permits;
  WriteResult result =
      committed ? WriteResult::kCommitted : WriteResult::kConflict;
  if (lose_answer)
    result = WriteResult::kDoubt;
  PermitsWritten(process.m_state, process.m_gate, result, simulation.m_now,
                 simulation.m_now);
}

/// Loads byte `at` of the order's weights into the engine. Returns true if the
/// order has ended: all bytes are loaded or the engine rejected the order.
bool LoadByte(Simulation& simulation, Order& order, size_t at) {
  FakeEngine& engine = simulation.m_engines[order.m_engine];
  if (engine.m_checks_fence && order.m_fencing_token < engine.m_fencing_token)
    return true;
  engine.m_fencing_token =
      std::max(engine.m_fencing_token, order.m_fencing_token);
  engine.m_bytes.resize(kBytes);
  engine.m_bytes[at] = order.m_digest;
  return at + 1 == kBytes;
}

void Act(Simulation& simulation, Process& process, bool lose_answer) {
  if (process.m_order)
    return;
  RolloutAction action = NextStep(process.m_state, process.m_gate,
                                  simulation.m_plan, simulation.m_now);
  switch (action.m_kind) {
    case Kind::kNone:
      break;
    case Kind::kFetch:
      Fetched(process.m_state, action.m_digest);
      break;
    case Kind::kReadPermits:
      PermitsRead(process.m_state,
                  simulation.m_table_up
                      ? std::optional<LoadPermits>(simulation.m_load_permits)
                      : std::nullopt,
                  simulation.m_now);
      break;
    case Kind::kWritePermits:
      Write(simulation, process, action.m_load_permits, lose_answer);
      break;
    case Kind::kMintFencingToken:
      Mint(simulation, process);
      break;
    case Kind::kOrder:
      RC_ASSERT(!process.m_gate.m_open);
      RC_ASSERT(process.m_gate.m_running == 0U);
      RC_ASSERT(
          !process.m_state.m_shut_for_load ||
          simulation.m_load_permits.m_permits.contains(process.m_state.m_host));
      process.m_order = action;
      ++simulation.m_loads;
      simulation.m_orders.push_back(
          {process.m_host, action.m_digest, action.m_fencing_token});
      break;
    case Kind::kQueryEngine:
      EngineStatusReceived(process.m_state, process.m_gate, simulation.m_plan,
                           simulation.m_engines[process.m_host].Whole(),
                           action.m_status_epoch, simulation.m_now);
      break;
  }
}

void Renew(Simulation& simulation, Process& process) {
  if (!simulation.m_table_up || !RenewalDue(process.m_state, simulation.m_now))
    return;
  const auto next =
      WithPermitRenewed(process.m_state, simulation.m_load_permits);
  if (!next)
    return;
  simulation.m_load_permits = *next;
  RenewalWritten(process.m_state, simulation.m_now);
}

void Poll(Simulation& simulation, Process& process) {
  if (process.m_frozen)
    return;
  EnginePolled(process.m_state, process.m_gate,
               simulation.m_engines[process.m_host].Whole());
}

void Step(Simulation& simulation, Process& process, bool lose_answer) {
  if (process.m_frozen)
    return;
  if (simulation.m_now - process.m_last_step > kPermitHoldTime)
    process.m_suspended_while_shut = true;
  process.m_last_step = simulation.m_now;
  if (process.m_gate.m_open || !process.m_state.m_shut_for_load)
    process.m_suspended_while_shut = false;
  Renew(simulation, process);
  Act(simulation, process, lose_answer);
  RC_ASSERT(!process.m_gate.m_open || !process.m_gate.m_digest.empty());
}

/// Returns the number of hosts that do not serve because the rollout shut their
/// gates. Hosts with a suspended or replaced process aren't counted.
uint32_t ShutByRollout(const Simulation& simulation) {
  uint32_t shut = 0;
  for (const Process& process : simulation.m_processes) {
    const bool paused =
        simulation.m_now - process.m_last_step > kPermitHoldTime;
    if (process.m_state.m_shut_for_load && !process.m_gate.m_open &&
        !process.m_suspended_while_shut && !paused &&
        IsNewest(simulation, process) && !process.m_state.m_superseded)
      ++shut;
  }
  return shut;
}

/// The model that RapidCheck maintains beside the simulation. It is empty
/// because the simulation itself holds the state for all checks.
struct EmptyModel {};
using Command = rc::state::Command<EmptyModel, Simulation>;

/// A command with a random number, from which it derives the host and its other
/// choices.
struct NumberedCommand : Command {
  uint32_t m_number = *rc::gen::arbitrary<uint32_t>();

  Process& ProcessOf(Simulation& simulation) const {
    return simulation.m_processes[m_number % simulation.m_processes.size()];
  }
};

struct StepAll : NumberedCommand {
  void run(const EmptyModel&, Simulation& simulation) const override {
    // Each process has one bit; processes whose bit is clear take no step.
    for (size_t i = 0; i < simulation.m_processes.size(); ++i) {
      if (m_number >> (i % 16) & 1)
        Step(simulation, simulation.m_processes[i], (m_number >> 20) % 8 == 0);
    }
    RC_ASSERT(ShutByRollout(simulation) <= MaxUnavailable(simulation.m_plan));
  }
  void show(std::ostream& os) const override { os << "StepAll " << m_number; }
};

/// Executes a random order in transit, completely or only its first byte.
struct ExecuteOrders : NumberedCommand {
  void run(const EmptyModel&, Simulation& simulation) const override {
    if (simulation.m_orders.empty())
      return;
    const size_t at = m_number % simulation.m_orders.size();
    Order order = simulation.m_orders[at];
    const bool half = (m_number >> 8) % 4 == 0;
    for (size_t i = 0; i < (half ? 1 : kBytes); ++i) {
      if (LoadByte(simulation, order, i))
        break;
    }
    if (!half || (m_number >> 12) % 2)
      simulation.m_orders.erase(simulation.m_orders.begin() +
                                static_cast<std::ptrdiff_t>(at));
    for (Process& process : simulation.m_processes) {
      if (process.m_order &&
          process.m_order->m_fencing_token == order.m_fencing_token &&
          process.m_host == order.m_engine) {
        OrderEnded(process.m_state, process.m_gate, half ? "broken" : "");
        process.m_order.reset();
      }
    }
  }
  /// Executes all orders in transit completely.
  static void Whole(Simulation& simulation) {
    ExecuteOrders execute;
    execute.m_number = 1 << 8;
    while (!simulation.m_orders.empty())
      execute.run(EmptyModel(), simulation);
  }
  void show(std::ostream& os) const override { os << "Engine " << m_number; }
};

/// Runs all processes for two or twenty seconds. In half of the cases, engines
/// execute their orders meanwhile.
struct RunProcesses : NumberedCommand {
  void run(const EmptyModel&, Simulation& simulation) const override {
    const int rounds = m_number % 6 == 0 ? 400 : 40;
    for (int round = 0; round < rounds; ++round) {
      simulation.m_now += 50ms;
      if (m_number % 2)
        ExecuteOrders::Whole(simulation);
      for (Process& process : simulation.m_processes) {
        Step(simulation, process, false);
        if (round == 0)
          Poll(simulation, process);
      }
      RC_ASSERT(ShutByRollout(simulation) <= MaxUnavailable(simulation.m_plan));
    }
  }
  void show(std::ostream& os) const override {
    os << "RunProcesses " << m_number;
  }
};

struct AdvanceTime : NumberedCommand {
  void run(const EmptyModel&, Simulation& simulation) const override {
    simulation.m_now += m_number % 4 == 0 ? kLongTime : kShortTime;
  }
  void show(std::ostream& os) const override {
    os << "AdvanceTime " << m_number;
  }
};

struct Declare : NumberedCommand {
  void run(const EmptyModel&, Simulation& simulation) const override {
    simulation.m_plan.m_digest = VersionDigest(m_number % kVersions);
    simulation.m_plan.m_paused = (m_number >> 8) % 5 == 0;
    ++simulation.m_plan.m_revision;
  }
  void show(std::ostream& os) const override { os << "Declare " << m_number; }
};

struct SwitchTable : NumberedCommand {
  void run(const EmptyModel&, Simulation& simulation) const override {
    simulation.m_table_up = m_number % 3 != 0;
  }
  void show(std::ostream& os) const override { os << "Table " << m_number; }
};

/// Loses the answer to an order. The order itself may still arrive.
struct LoseOrderAnswer : NumberedCommand {
  void run(const EmptyModel&, Simulation& simulation) const override {
    Process& process = ProcessOf(simulation);
    if (!process.m_order)
      return;
    process.m_order.reset();
    OrderEnded(process.m_state, process.m_gate, "timeout");
  }
  void show(std::ostream& os) const override { os << "LoseAns " << m_number; }
};

struct RestartEngine : NumberedCommand {
  void run(const EmptyModel&, Simulation& simulation) const override {
    FakeEngine& engine = simulation.m_engines[m_number % kHosts];
    engine.m_bytes.clear();
    engine.m_fencing_token = 0;
  }
  void show(std::ostream& os) const override { os << "Restart " << m_number; }
};

/// Freezes or unfreezes a process.
struct Freeze : NumberedCommand {
  void run(const EmptyModel&, Simulation& simulation) const override {
    Process& process = ProcessOf(simulation);
    process.m_frozen = !process.m_frozen;
  }
  void show(std::ostream& os) const override { os << "Freeze " << m_number; }
};

/// Starts a new process for a host. The previous process exits or continues to
/// exist beside the new one; in that case, it runs when StepAll next selects
/// it.
struct ReplaceProcess : NumberedCommand {
  void run(const EmptyModel&, Simulation& simulation) const override {
    const int host = static_cast<int>(m_number % kHosts);
    if (const bool dies = (m_number >> 8) % 2; dies) {
      std::erase_if(simulation.m_processes,
                    [&](const Process& p) { return p.m_host == host; });
    } else if (simulation.m_processes.size() > 2 * kHosts) {
      return;
    }
    simulation.m_processes.push_back(MakeProcess(simulation, host));
  }
  void show(std::ostream& os) const override { os << "Replace " << m_number; }
};

/// Starts a request at each process whose gate admits one. The request reads
/// the engine's bytes.
struct BeginRequests : NumberedCommand {
  void run(const EmptyModel&, Simulation& simulation) const override {
    for (Process& process : simulation.m_processes) {
      const Attempt attempt{"r" + std::to_string(m_number), 1};
      if (process.m_request ||
          Admit(process.m_gate, attempt, process.m_gate.m_incarnation, {},
                simulation.m_now) != AdmitResult::kAdmitted)
        continue;
      process.m_request = attempt;
      process.m_request_generation = process.m_gate.m_generation;
      process.m_read = simulation.m_engines[process.m_host].m_bytes;
    }
  }
  void show(std::ostream& os) const override { os << "Begin " << m_number; }
};

/// Ends the request of `process`. If its answer may be forwarded, checks that
/// every byte is of the version in force.
void EndRequest(Simulation& simulation, Process& process) {
  FakeEngine engine;
  engine.m_bytes = process.m_read;
  if (MayForward(process.m_gate, process.m_request_generation,
                 engine.Whole())) {
    ++simulation.m_answers;
    RC_ASSERT(process.m_read.size() == kBytes);
    for (const Digest& byte : process.m_read)
      RC_ASSERT(byte == process.m_gate.m_digest);
  }
  EndAttempt(process.m_gate, *process.m_request, simulation.m_now);
  process.m_request.reset();
}

struct EndRequests : NumberedCommand {
  void run(const EmptyModel&, Simulation& simulation) const override {
    for (Process& process : simulation.m_processes) {
      if (process.m_request)
        EndRequest(simulation, process);
    }
  }
  void show(std::ostream& os) const override { os << "End " << m_number; }
};

/// Counts over many runs.
struct Totals {
  uint64_t m_steps = 0;
  uint64_t m_answers = 0;
  uint64_t m_loads = 0;
};

template <typename... Commands>
Simulation RunCommands(Totals& totals) {
  Simulation simulation = MakeSimulation(*rc::gen::arbitrary<uint32_t>());
  const auto commands = *rc::gen::resize(
      kCommands,
      rc::state::gen::commands(
          EmptyModel(), rc::state::gen::execOneOfWithArgs<Commands...>()));
  rc::state::runAll(commands, EmptyModel(), simulation);
  totals.m_steps += commands.size();
  totals.m_answers += simulation.m_answers;
  totals.m_loads += simulation.m_loads;
  return simulation;
}

void EndAllFaults(Simulation& simulation) {
  for (Process& process : simulation.m_processes)
    process.m_frozen = false;
  simulation.m_table_up = true;
  simulation.m_plan.m_paused = false;
  if (simulation.m_plan.m_digest.empty())
    simulation.m_plan.m_digest = VersionDigest(0);
  ++simulation.m_plan.m_revision;
}

/// Runs for a hundred seconds without faults.
void RunWithoutFaults(Simulation& simulation) {
  constexpr int kRounds = 2000;
  for (int round = 0; round < kRounds; ++round) {
    simulation.m_now += 50ms;
    ExecuteOrders::Whole(simulation);
    for (Process& process : simulation.m_processes) {
      Step(simulation, process, false);
      if (round % 20 == 0)
        Poll(simulation, process);
    }
  }
}

void AssertConverged(const Simulation& simulation) {
  for (const Process& process : simulation.m_processes) {
    const bool converged =
        process.m_gate.m_open &&
        process.m_gate.m_digest == simulation.m_plan.m_digest;
    if (!converged) {
      RC_LOG(process.m_state.m_host + ": " + ToString(process.m_state.m_stage) +
             " " + process.m_state.m_reason);
    }
    RC_ASSERT(converged);
    RC_ASSERT(simulation.m_engines[process.m_host].Whole() ==
              simulation.m_plan.m_digest);
  }
  RC_ASSERT(simulation.m_load_permits.m_permits.empty());
}

class RolloutTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutTest);
  CPPUNIT_TEST(ServesOnlyCompleteVersionsWithinLimit);
  CPPUNIT_TEST(ConvergesOnDeclaredVersion);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against answers computed with mixed weights, and against too few
  // hosts that serve. Processes are suspended and resumed at any step,
  // duplicated or replaced. Orders reach engines late, in part, or after their
  // sender has exited. Engines restart and ignore fencing tokens. Answers of
  // the table and the engines are lost.
  void ServesOnlyCompleteVersionsWithinLimit() {
    Totals totals;
    CPPUNIT_ASSERT(rc::check("only complete versions, within the limit", [&] {
      for (int i = 0; i < kSimulations; ++i) {
        RunCommands<StepAll, StepAll, StepAll, StepAll, RunProcesses,
                    RunProcesses, AdvanceTime, Declare, SwitchTable,
                    ExecuteOrders, ExecuteOrders, LoseOrderAnswer,
                    RestartEngine, Freeze, Freeze, ReplaceProcess,
                    BeginRequests, EndRequests>(totals);
      }
    }));
    std::cerr << "rollout: " << totals.m_steps << " steps, " << totals.m_answers
              << " answers, " << totals.m_loads << " loads\n";
    CPPUNIT_ASSERT(totals.m_steps >= kMinSteps);
    CPPUNIT_ASSERT(totals.m_answers > 1000);
    CPPUNIT_ASSERT(totals.m_loads > 1000);
  }

  // Guards against a rollout that never ends. After a random sequence of faults
  // all faults and the pause end. Then each process has to serve the declared
  // version, and all permits have to be released.
  void ConvergesOnDeclaredVersion() {
    Totals totals;
    CPPUNIT_ASSERT(rc::check("converges on the declared version", [&] {
      for (int i = 0; i < kSimulations; ++i) {
        Simulation simulation =
            RunCommands<StepAll, StepAll, RunProcesses, RunProcesses,
                        AdvanceTime, Declare, SwitchTable, ExecuteOrders,
                        LoseOrderAnswer, RestartEngine, Freeze, Freeze>(totals);
        EndAllFaults(simulation);
        RunWithoutFaults(simulation);
        AssertConverged(simulation);
      }
    }));
    CPPUNIT_ASSERT(totals.m_steps >= kMinSteps);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutTest);

}  // namespace
}  // namespace verbenalead::decide
