#include "decide/regions/evacuations.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::decide {
namespace {

const TimePoint kStart = TimePoint() + 3600s;

using Names = std::set<std::string>;
using List = std::vector<std::string>;

class EvacuationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationsTest);
  CPPUNIT_TEST(NewestRowDecides);
  CPPUNIT_TEST(AbsentRowEndsAnEvacuationOfTheSameEra);
  CPPUNIT_TEST(RowMissingFromACopyEndsItOnlyLater);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an evacuation that begins again, or ends, because an older
  // row arrives late from another source.
  void NewestRowDecides() {
    CPPUNIT_ASSERT(Row({1, 5}, false) == EvacuationChange::kBegun);
    CPPUNIT_ASSERT(Row({1, 7}, false) == EvacuationChange::kNone);
    CPPUNIT_ASSERT(Row({1, 6}, true) == EvacuationChange::kOutdated);
    CPPUNIT_ASSERT(EvacuatedDataCenters(m_state) == Names({"a"}));
    CPPUNIT_ASSERT(!EvacuationEndedAt(m_state, "a"));
    CPPUNIT_ASSERT(Row({1, 8}, true, kStart + 1s) == EvacuationChange::kEnded);
    CPPUNIT_ASSERT(Row({1, 7}, false) == EvacuationChange::kOutdated);
    CPPUNIT_ASSERT(EvacuatedDataCenters(m_state).empty());
    CPPUNIT_ASSERT(EvacuationEndedAt(m_state, "a") == kStart + 1s);
    // The store came back from a copy that has the row.
    CPPUNIT_ASSERT(Row({2, 3}, false) == EvacuationChange::kBegun);
    CPPUNIT_ASSERT(Row({1, 9}, true) == EvacuationChange::kOutdated);
    CPPUNIT_ASSERT(!EvacuationEndedAt(m_state, "a"));
  }

  // Guards against a data centre that gets no calls any more, because the
  // removal was missed and the whole table was read again.
  void AbsentRowEndsAnEvacuationOfTheSameEra() {
    Row({1, 5}, false);
    CPPUNIT_ASSERT(EndAbsentEvacuations(m_state, {}, {1, 4}, kStart).empty());
    CPPUNIT_ASSERT(
        EndAbsentEvacuations(m_state, {"a"}, {1, 9}, kStart).empty());
    CPPUNIT_ASSERT(EndAbsentEvacuations(m_state, {}, {1, 9}, kStart) ==
                   List{"a"});
    CPPUNIT_ASSERT(EvacuationEndedAt(m_state, "a") == kStart);
    CPPUNIT_ASSERT(Row({1, 8}, false) == EvacuationChange::kOutdated);
    CPPUNIT_ASSERT(Row({1, 10}, false) == EvacuationChange::kBegun);
  }

  // Guards against calls to an evacuated data centre while the operator writes
  // again what the copy lacks, and against an evacuation that never ends.
  void RowMissingFromACopyEndsItOnlyLater() {
    Row({1, 500}, false);
    CPPUNIT_ASSERT(EndAbsentEvacuations(m_state, {}, {2, 30}, kStart).empty());
    CPPUNIT_ASSERT(EndEvacuationsBeforeEra(m_state, 1, kStart).empty());
    CPPUNIT_ASSERT(EndEvacuationsBeforeEra(m_state, 2, kStart) == List{"a"});
    CPPUNIT_ASSERT(Row({1, 501}, false) == EvacuationChange::kOutdated);
    CPPUNIT_ASSERT(Row({2, 31}, false) == EvacuationChange::kBegun);
    CPPUNIT_ASSERT(EndEvacuationsBeforeEra(m_state, 2, kStart).empty());
  }

 private:
  EvacuationChange Row(model::Revision revision,
                       bool removed,
                       TimePoint now = kStart) {
    return ApplyEvacuationRow(m_state, "a", revision, removed, now);
  }

  Evacuations m_state;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationsTest);

}  // namespace
}  // namespace verbenalead::decide
