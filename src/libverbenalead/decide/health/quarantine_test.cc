#include "decide/health/quarantine.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace verbenalead::decide {
namespace {

const TimePoint kStart{};

class QuarantineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuarantineTest);
  CPPUNIT_TEST(QuarantinedAtEveryEntry);
  CPPUNIT_TEST(CrashesOfOneTargetQuarantineNothing);
  CPPUNIT_TEST(SuccessClearsTheRequest);
  CPPUNIT_TEST(QuarantineExpires);
  CPPUNIT_TEST(MergeIsCommutativeAndIdempotent);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a request that takes down targets through several entries:
  // it crashes one target through each of two entries. After an exchange of
  // their crash records, both entries must refuse it.
  void QuarantinedAtEveryEntry() {
    QuarantineState a, b;
    RecordCrash(a, 7, "t1", kStart);
    RecordCrash(b, 7, "t2", kStart);
    CPPUNIT_ASSERT(!IsQuarantined(a, 7, kStart));
    const auto from_a = TakeCrashRecords(a);
    MergeCrashRecords(a, TakeCrashRecords(b), kStart);
    MergeCrashRecords(b, from_a, kStart);
    CPPUNIT_ASSERT(IsQuarantined(a, 7, kStart));
    CPPUNIT_ASSERT(IsQuarantined(b, 7, kStart));
    CPPUNIT_ASSERT(!IsQuarantined(a, 8, kStart));
    CPPUNIT_ASSERT(TakeCrashRecords(a).empty());
  }

  void CrashesOfOneTargetQuarantineNothing() {
    QuarantineState state;
    for (uint64_t key = 0; key < 100; ++key) {
      RecordCrash(state, key, "t1", kStart);
      RecordCrash(state, key, "t1", kStart + 1s);
      CPPUNIT_ASSERT(!IsQuarantined(state, key, kStart + 1s));
    }
  }

  // Guards against the quarantine of a status check that is sent periodically:
  // two hosts fail while they run it, but it succeeded in between.
  void SuccessClearsTheRequest() {
    QuarantineState state;
    RecordCrash(state, 7, "t1", kStart);
    RecordSuccess(state, 7, kStart);
    RecordCrash(state, 7, "t2", kStart + 1s);
    CPPUNIT_ASSERT(!IsQuarantined(state, 7, kStart + 1s));
  }

  void QuarantineExpires() {
    QuarantineState state;
    RecordCrash(state, 7, "t1", kStart);
    RecordCrash(state, 7, "t2", kStart);
    CPPUNIT_ASSERT(
        IsQuarantined(state, 7, kStart + QuarantineLimits().m_quarantine_time));
    CPPUNIT_ASSERT(!IsQuarantined(
        state, 7, kStart + QuarantineLimits().m_quarantine_time + 1s));
  }

  void MergeIsCommutativeAndIdempotent() {
    const bool passed = rc::check("entries agree", [] {
      const auto numbers = *rc::gen::container<std::vector<uint8_t>>(
          30, rc::gen::arbitrary<uint8_t>());
      std::vector<CrashRecord> records;
      for (uint8_t number : numbers)
        records.push_back({number % 4u, "t" + std::to_string(number / 4 % 3),
                           kStart + std::chrono::seconds(number)});
      QuarantineState a, b;
      MergeCrashRecords(a, records, kStart);
      std::reverse(records.begin(), records.end());
      MergeCrashRecords(b, records, kStart);
      MergeCrashRecords(b, records, kStart);
      RC_ASSERT(a.m_crashes == b.m_crashes);
    });
    CPPUNIT_ASSERT(passed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);

}  // namespace
}  // namespace verbenalead::decide
