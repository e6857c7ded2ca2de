#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <iostream>
#include <map>
#include <optional>
#include <vector>

#include "decide/attempts/attempt_judge.h"
#include "decide/attempts/retry.h"
#include "decide/rollout/attempt_gate.h"
#include "model/call_builder.h"

namespace verbenalead::decide {
namespace {

constexpr size_t kTargets = 3;
constexpr size_t kMinSteps = 20000;
constexpr int kMaxStepsPerRun = 600;
constexpr uint32_t kCapacity = 2;

enum class Kind { kAttempt, kAnswer, kVoid, kVoidReply };

/// One message in transit. It belongs to a connection to one run of a target
/// process and is lost if that process exits.
struct Message {
  Kind m_kind = Kind::kAttempt;
  size_t m_call = 0;
  uint32_t m_number = 0;
  size_t m_target = 0;
  uint64_t m_incarnation = 0;
  AttemptObservations m_evidence;
};

struct Call {
  model::Call m_call;
  uint32_t m_number = 0;
  size_t m_target = 0;
  uint64_t m_incarnation = 0;
  AttemptObservations m_evidence;
  bool m_void_requested = false;
  bool m_in_doubt = false;
  std::optional<model::Outcome> m_told;
  int m_runs = 0;
};

struct Target {
  GateState m_gate;
  bool m_frozen = false;
  std::vector<Message> m_running;
};

/// One simulated event. m_what selects its kind, m_pick the call, message or
/// target that it affects.
struct Step {
  int m_what = 0;
  uint32_t m_pick = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << step.m_what << ":" << step.m_pick;
}

/// Simulates an entry, three targets and the network between them. The code
/// under test makes all decisions; all other events are random. The number of
/// runs of each call is counted independently, to check the reported outcomes.
class Simulation {
 public:
  Simulation() : m_targets(kTargets) {
    for (Target& target : m_targets) {
      target.m_gate.m_capacity = kCapacity;
      target.m_gate.m_incarnation = ++m_incarnations;
      Open(target.m_gate, Sha256("v1"));
    }
  }

  void Do(const Step& step) {
    m_now += 10ms;
    using Action = void (Simulation::*)(uint32_t);
    // Deliveries and ends of runs are listed several times to make them more
    // likely.
    static constexpr Action kActions[] = {&Simulation::Start,
                                          &Simulation::Start,
                                          &Simulation::Deliver,
                                          &Simulation::Deliver,
                                          &Simulation::Deliver,
                                          &Simulation::Deliver,
                                          &Simulation::Deliver,
                                          &Simulation::Finish,
                                          &Simulation::Finish,
                                          &Simulation::Finish,
                                          &Simulation::LoseMessage,
                                          &Simulation::DuplicateMessage,
                                          &Simulation::GiveUp,
                                          &Simulation::GiveUp,
                                          &Simulation::ExpireVoidRequest,
                                          &Simulation::RestartTarget,
                                          &Simulation::ToggleFrozen,
                                          &Simulation::Reload,
                                          &Simulation::ToggleLeaving};
    (this->*kActions[static_cast<size_t>(step.m_what) % std::size(kActions)])(
        step.m_pick);
  }

  /// Checks that each reported outcome agrees with the number of runs. Called
  /// after every step, so that a run after the report is detected, too.
  void Check() const {
    for (const Call& call : m_calls) {
      if (!call.m_call.idempotent())
        RC_ASSERT(call.m_runs <= 1);
      if (!call.m_told)
        continue;
      if (*call.m_told == model::Outcome::kRefused)
        RC_ASSERT(call.m_runs == 0);
      if (*call.m_told == model::Outcome::kCompleted ||
          *call.m_told == model::Outcome::kFailed)
        RC_ASSERT(call.m_runs >= 1);
    }
  }

  std::map<model::Outcome, size_t> CountOutcomes() const {
    std::map<model::Outcome, size_t> counts;
    for (const Call& call : m_calls) {
      if (call.m_told)
        ++counts[*call.m_told];
    }
    return counts;
  }

 private:
  void Start(uint32_t pick) {
    model::CallBuilder builder;
    builder.Id(std::to_string(m_calls.size())).Organisation("acme").Pool("p");
    builder.Deadline(m_now + 10s);
    if (pick % 2 == 0)
      builder.NotIdempotent("key");
    Call call;
    call.m_call = builder.Build();
    m_calls.push_back(call);
    Send(m_calls.size() - 1, pick);
  }

  void Send(size_t index, uint32_t pick) {
    Call& call = m_calls[index];
    ++call.m_number;
    call.m_target = pick % kTargets;
    // Sometimes the entry has not yet been notified that the target process was
    // replaced.
    const bool stale = pick % 11 == 0;
    call.m_incarnation =
        m_targets[call.m_target].m_gate.m_incarnation - (stale ? 1 : 0);
    call.m_evidence = {};
    call.m_void_requested = false;
    m_network.push_back(MakeMessage(index, Kind::kAttempt));
  }

  Message MakeMessage(size_t index, Kind kind) const {
    const Call& call = m_calls[index];
    return {kind, index, call.m_number, call.m_target, call.m_incarnation, {}};
  }

  void Deliver(uint32_t pick) {
    if (m_network.empty())
      return;
    const size_t index = pick % m_network.size();
    const Message message = m_network[index];
    const bool to_target =
        message.m_kind == Kind::kAttempt || message.m_kind == Kind::kVoid;
    if (to_target && m_targets[message.m_target].m_frozen)
      return;
    m_network.erase(m_network.begin() + static_cast<ptrdiff_t>(index));
    if (message.m_kind == Kind::kAttempt)
      ReceiveAttempt(message);
    else if (message.m_kind == Kind::kVoid)
      ReceiveVoidRequest(message);
    else
      ReceiveReply(message);
  }

  void ReceiveAttempt(Message message) {
    GateState& gate = m_targets[message.m_target].m_gate;
    const AdmitResult result =
        AdmitOrVoid(gate, AttemptOf(message), message.m_incarnation, {}, m_now);
    if (result == AdmitResult::kDuplicate)
      return;
    if (result == AdmitResult::kAdmitted) {
      ++m_calls[message.m_call].m_runs;
      m_targets[message.m_target].m_running.push_back(message);
      return;
    }
    message.m_kind = Kind::kAnswer;
    message.m_evidence.m_gate_refused = true;
    m_network.push_back(message);
  }

  void ReceiveVoidRequest(Message message) {
    GateState& gate = m_targets[message.m_target].m_gate;
    message.m_evidence.m_void = HandleVoidRequest(gate, AttemptOf(message),
                                                  message.m_incarnation, m_now);
    message.m_kind = Kind::kVoidReply;
    m_network.push_back(message);
  }

  void ReceiveReply(const Message& message) {
    Call& call = m_calls[message.m_call];
    // An answer belongs to one stream. A late answer finds that stream closed
    // and is ignored.
    const bool awaited =
        !call.m_told && message.m_number == call.m_number &&
        call.m_void_requested == (message.m_kind == Kind::kVoidReply);
    if (!awaited)
      return;
    if (message.m_kind == Kind::kVoidReply)
      call.m_evidence.m_void = message.m_evidence.m_void;
    else
      call.m_evidence = message.m_evidence;
    End(message.m_call);
  }

  void End(size_t index) {
    Call& call = m_calls[index];
    const AttemptVerdict end = Judge(call.m_evidence);
    FinishedAttempt attempt;
    attempt.m_end = end;
    attempt.m_number = call.m_number;
    attempt.m_refused_without_run = call.m_evidence.m_gate_refused;
    // Each decision gets a full retry budget, so that an exhausted budget can't
    // hide a fault by preventing retries.
    RetryBudget budget;
    const RetryDecision next = DecideRetry(call.m_call, attempt, budget, m_now);
    if (next.m_retry)
      Send(index, static_cast<uint32_t>(call.m_target + 1));
    else
      call.m_told = OutcomeToReport(next.m_outcome, call.m_in_doubt);
    call.m_in_doubt |= end == AttemptVerdict::kInDoubt;
  }

  void Finish(uint32_t pick) {
    Target& target = m_targets[pick % kTargets];
    if (target.m_frozen || target.m_running.empty())
      return;
    const size_t index = pick / kTargets % target.m_running.size();
    Message message = target.m_running[index];
    target.m_running.erase(target.m_running.begin() +
                           static_cast<ptrdiff_t>(index));
    EndAttempt(target.m_gate, AttemptOf(message), m_now);
    message.m_kind = Kind::kAnswer;
    AttemptObservations& evidence = message.m_evidence;
    evidence.m_was_admitted = true;
    evidence.m_reported_failure = pick % 7 == 0;
    // Some answers are truncated or have a wrong digest.
    evidence.m_reported_success =
        !evidence.m_reported_failure && pick % 13 != 0;
    evidence.m_intact = pick % 17 != 0;
    m_network.push_back(message);
  }

  void LoseMessage(uint32_t pick) {
    if (!m_network.empty())
      m_network.erase(m_network.begin() +
                      static_cast<ptrdiff_t>(pick % m_network.size()));
  }

  void DuplicateMessage(uint32_t pick) {
    if (!m_network.empty())
      m_network.push_back(Message(m_network[pick % m_network.size()]));
  }

  /// The entry detects that the connection has stopped responding.
  void GiveUp(uint32_t pick) {
    if (m_calls.empty())
      return;
    const size_t index = pick % m_calls.size();
    Call& call = m_calls[index];
    if (call.m_told || call.m_void_requested ||
        !NeedsVoidRequest(call.m_evidence))
      return;
    call.m_void_requested = true;
    m_network.push_back(MakeMessage(index, Kind::kVoid));
  }

  void ExpireVoidRequest(uint32_t pick) {
    if (m_calls.empty())
      return;
    const size_t index = pick % m_calls.size();
    if (!m_calls[index].m_told && m_calls[index].m_void_requested)
      End(index);
  }

  /// The target process exits and a new one starts.
  void RestartTarget(uint32_t pick) {
    const size_t index = pick % kTargets;
    Target& target = m_targets[index];
    target.m_running.clear();
    target.m_frozen = false;
    target.m_gate = GateState();
    target.m_gate.m_capacity = kCapacity;
    target.m_gate.m_incarnation = m_incarnations += 2;
    Open(target.m_gate, Sha256("v1"));
    std::erase_if(m_network, [&](const Message& message) {
      return message.m_target == index && message.m_kind == Kind::kAttempt;
    });
  }

  void ToggleFrozen(uint32_t pick) {
    bool& frozen = m_targets[pick % kTargets].m_frozen;
    frozen = !frozen;
  }

  void Reload(uint32_t pick) {
    GateState& gate = m_targets[pick % kTargets].m_gate;
    if (gate.m_open)
      Shut(gate);
    else
      Open(gate, Sha256(pick % 2 == 0 ? "v1" : "v2"));
  }

  void ToggleLeaving(uint32_t pick) {
    GateState& gate = m_targets[pick % kTargets].m_gate;
    gate.m_leaving = !gate.m_leaving;
  }

  Attempt AttemptOf(const Message& message) const {
    return {m_calls[message.m_call].m_call.id(), message.m_number};
  }

  TimePoint m_now{};
  uint64_t m_incarnations = 1;
  std::vector<Target> m_targets;
  std::vector<Call> m_calls;
  std::vector<Message> m_network;
};

rc::Gen<Step> AnyStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::m_what, rc::gen::inRange(0, 1000)),
      rc::gen::set(&Step::m_pick, rc::gen::inRange<uint32_t>(0, 1 << 20)));
}

class AttemptFuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AttemptFuzzTest);
  CPPUNIT_TEST(ReportedOutcomesAreTrue);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a reported outcome that doesn't match what ran: the caller
  // acts on the outcome, so work would be lost or run twice. Messages are lost,
  // duplicated, delayed and reordered. Targets exit, freeze, resume, are
  // replaced, load other weights and leave, in any order.
  void ReportedOutcomesAreTrue() {
    size_t steps = 0;
    std::map<model::Outcome, size_t> counts;
    const bool passed = rc::check("reported outcomes are true", [&] {
      const auto run = *rc::gen::resize(
          kMaxStepsPerRun, rc::gen::container<std::vector<Step>>(AnyStep()));
      Simulation simulation;
      for (const Step& step : run) {
        simulation.Do(step);
        simulation.Check();
        ++steps;
      }
      for (const auto& [outcome, count] : simulation.CountOutcomes())
        counts[outcome] += count;
    });
    std::cout << "steps=" << steps;
    for (const auto& [outcome, count] : counts)
      std::cout << " " << ToString(outcome) << "=" << count;
    std::cout << "\n";
    CPPUNIT_ASSERT(passed);
    CPPUNIT_ASSERT(steps >= kMinSteps);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, counts.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptFuzzTest);

}  // namespace
}  // namespace verbenalead::decide
