#include "decide/gate.h"

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
  CPPUNIT_TEST(RefusesWhatItMustNotRun);
  CPPUNIT_TEST(VoidBeatsALateMessage);
  CPPUNIT_TEST(StartedCannotBeMadeVoid);
  CPPUNIT_TEST(AnswerAcrossALoadIsNotPassed);
  CPPUNIT_TEST(ForgetsOnlyWhatHasEnded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RefusesWhatItMustNotRun() {
    GateState gate = OpenGate(kOld);
    CPPUNIT_ASSERT(Enter(gate, {"a", 1}, 6, kOld, kStart) ==
                   EnterResult::kWrongIncarnation);
    CPPUNIT_ASSERT(Enter(gate, {"a", 1}, kIncarnation, kNew, kStart) ==
                   EnterResult::kWrongVersion);
    CPPUNIT_ASSERT(Enter(gate, {"a", 1}, kIncarnation, kOld, kStart) ==
                   EnterResult::kEntered);
    CPPUNIT_ASSERT(Enter(gate, {"a", 1}, kIncarnation, kOld, kStart) ==
                   EnterResult::kRepeated);
    CPPUNIT_ASSERT(Enter(gate, {"b", 1}, kIncarnation, {}, kStart) ==
                   EnterResult::kEntered);
    CPPUNIT_ASSERT(Enter(gate, {"c", 1}, kIncarnation, {}, kStart) ==
                   EnterResult::kFull);
    Leave(gate, {"b", 1}, kStart);
    gate.m_leaving = true;
    CPPUNIT_ASSERT(Enter(gate, {"d", 1}, kIncarnation, {}, kStart) ==
                   EnterResult::kLeaving);
  }

  // The caller is told "not run" and calls again elsewhere.
  // The connection that carried the attempt goes silent; the entry makes the
  // attempt void over a new one; then the first message comes after all.
  // Were it run now, the work would run twice.
  void VoidBeatsALateMessage() {
    GateState gate = OpenGate(kOld);
    CPPUNIT_ASSERT(VoidAttempt(gate, {"a", 1}, kStart) ==
                   VoidResult::kNeverStarted);
    CPPUNIT_ASSERT(Enter(gate, {"a", 1}, kIncarnation, kOld, kStart) ==
                   EnterResult::kVoid);
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, gate.m_running);
  }

  void StartedCannotBeMadeVoid() {
    GateState gate = OpenGate(kOld);
    Enter(gate, {"a", 1}, kIncarnation, kOld, kStart);
    CPPUNIT_ASSERT(VoidAttempt(gate, {"a", 1}, kStart) == VoidResult::kStarted);
    Leave(gate, {"a", 1}, kStart);
    CPPUNIT_ASSERT(VoidAttempt(gate, {"a", 1}, kStart) == VoidResult::kStarted);
  }

  // The caller gets no answer from mixed weights.
  // An answer begins under the old version; the gate opens for the new one;
  // the engine goes on sending. Its pieces belong to neither version whole.
  void AnswerAcrossALoadIsNotPassed() {
    GateState gate = OpenGate(kOld);
    const uint64_t generation = gate.m_generation;
    CPPUNIT_ASSERT(MayPass(gate, generation, kOld));
    CPPUNIT_ASSERT(!MayPass(gate, generation, kNew));
    Shut(gate);
    Open(gate, kNew);
    CPPUNIT_ASSERT(!MayPass(gate, generation, kOld));
    CPPUNIT_ASSERT(!MayPass(gate, generation, kNew));
  }

  void ForgetsOnlyWhatHasEnded() {
    GateState gate = OpenGate(kOld);
    Enter(gate, {"running", 1}, kIncarnation, kOld, kStart);
    VoidAttempt(gate, {"void", 1}, kStart);
    Forget(gate, kStart + kRemember);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, gate.m_attempts.size());
    Forget(gate, kStart + kRemember + 1s);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, gate.m_attempts.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateTest);

}  // namespace
}  // namespace verbenalead::decide
