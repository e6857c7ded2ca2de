#include "decide/rollout/gate.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::decide {
namespace {

const TimePoint kStart{};
const Digest kOld = Sha256("old");
const Digest kNew = Sha256("new");
constexpr uint64_t kIncarnation = 7;

GateState OpenGate(const Digest& digest) {
  GateState gate;
  gate.m_incarnation = kIncarnation;
  gate.m_capacity = 2;
  Open(gate, digest);
  return gate;
}

class GateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GateTest);
  CPPUNIT_TEST(RefusesAttemptsThatMustNotRun);
  CPPUNIT_TEST(VoidAttemptRefusesLateMessage);
  CPPUNIT_TEST(StartedAttemptCannotBeMadeVoid);
  CPPUNIT_TEST(WithholdsAnswerAcrossLoad);
  CPPUNIT_TEST(ErasesOnlyInactiveAttempts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RefusesAttemptsThatMustNotRun() {
    GateState gate = OpenGate(kOld);
    CPPUNIT_ASSERT(Admit(gate, {"a", 1}, 6, kOld, kStart) ==
                   AdmitResult::kWrongIncarnation);
    CPPUNIT_ASSERT(Admit(gate, {"a", 1}, kIncarnation, kNew, kStart) ==
                   AdmitResult::kWrongVersion);
    CPPUNIT_ASSERT(Admit(gate, {"a", 1}, kIncarnation, kOld, kStart) ==
                   AdmitResult::kAdmitted);
    CPPUNIT_ASSERT(Admit(gate, {"a", 1}, kIncarnation, kOld, kStart) ==
                   AdmitResult::kDuplicate);
    CPPUNIT_ASSERT(Admit(gate, {"b", 1}, kIncarnation, {}, kStart) ==
                   AdmitResult::kAdmitted);
    CPPUNIT_ASSERT(Admit(gate, {"c", 1}, kIncarnation, {}, kStart) ==
                   AdmitResult::kFull);
    EndAttempt(gate, {"b", 1}, kStart);
    gate.m_leaving = true;
    CPPUNIT_ASSERT(Admit(gate, {"d", 1}, kIncarnation, {}, kStart) ==
                   AdmitResult::kLeaving);
  }

  // Guards against running a call twice. The connection that carried the
  // attempt stops responding, the entry makes the attempt void over a new
  // connection, and the caller receives "not run" and calls again. Then the
  // first message arrives late and has to be refused.
  void VoidAttemptRefusesLateMessage() {
    GateState gate = OpenGate(kOld);
    CPPUNIT_ASSERT(VoidAttempt(gate, {"a", 1}, kStart) ==
                   VoidResult::kNeverStarted);
    CPPUNIT_ASSERT(Admit(gate, {"a", 1}, kIncarnation, kOld, kStart) ==
                   AdmitResult::kVoid);
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, gate.m_running);
  }

  void StartedAttemptCannotBeMadeVoid() {
    GateState gate = OpenGate(kOld);
    Admit(gate, {"a", 1}, kIncarnation, kOld, kStart);
    CPPUNIT_ASSERT(VoidAttempt(gate, {"a", 1}, kStart) == VoidResult::kStarted);
    EndAttempt(gate, {"a", 1}, kStart);
    CPPUNIT_ASSERT(VoidAttempt(gate, {"a", 1}, kStart) == VoidResult::kStarted);
  }

  // Guards against forwarding an answer computed with mixed weights. An answer
  // begins under the old version, the gate opens for the new one, and the
  // engine continues to send. The complete answer belongs to neither version.
  void WithholdsAnswerAcrossLoad() {
    GateState gate = OpenGate(kOld);
    const uint64_t generation = gate.m_generation;
    CPPUNIT_ASSERT(MayForward(gate, generation, kOld));
    CPPUNIT_ASSERT(!MayForward(gate, generation, kNew));
    Shut(gate);
    Open(gate, kNew);
    CPPUNIT_ASSERT(!MayForward(gate, generation, kOld));
    CPPUNIT_ASSERT(!MayForward(gate, generation, kNew));
  }

  void ErasesOnlyInactiveAttempts() {
    GateState gate = OpenGate(kOld);
    Admit(gate, {"running", 1}, kIncarnation, kOld, kStart);
    VoidAttempt(gate, {"void", 1}, kStart);
    EraseOldAttempts(gate, kStart + kAttemptRetention);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, gate.m_attempts.size());
    EraseOldAttempts(gate, kStart + kAttemptRetention + 1s);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, gate.m_attempts.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateTest);

}  // namespace
}  // namespace verbenalead::decide
