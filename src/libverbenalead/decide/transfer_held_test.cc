#include <cppunit/extensions/HelperMacros.h>

#include "decide/transfer.h"

namespace verbenalead::decide {
namespace {

const TimePoint kStart{};
const TransferMember kSelf{"a", "mtl", "mtl-1"};
const TransferMember kNear{"b", "mtl", "mtl-1"};
const TransferMember kOther{"c", "mtl", "mtl-2"};

/// A chunk that others tried to draw for long.
class TransferHeldTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TransferHeldTest);
  CPPUNIT_TEST(AChunkThatWasHeldIsNotTakenByAllAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  // One chunk is drawn 16 times when the origin is back: it had been open for
  // seconds, with others trying to draw it again and again, so that all hosts
  // held their time to be over at once.
  void AChunkThatWasHeldIsNotTakenByAllAtOnce() {
    m_limits.m_draws_at_once = 1;
    TransferState next = NextInRank();
    CPPUNIT_ASSERT(Draws(next, kStart).empty());
    TimePoint now = kStart + 10ms;
    for (; now < kStart + 800ms; now += 250ms) {
      HostDraws(next, {"x", {0}, {}}, now);
      CPPUNIT_ASSERT(Draws(next, now).empty());
    }
    HostDraws(next, {"x", {}, {}}, now);
    const TimePoint open = now - 250ms + m_limits.m_draw_hold;
    CPPUNIT_ASSERT(Draws(next, open).empty());
    CPPUNIT_ASSERT(Draws(next, open + m_limits.m_draw_hold / 2 - 1ms).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         Draws(next, open + m_limits.m_draw_hold / 2).size());
  }

 private:
  TransferState Start(const TransferMember& self,
                      std::vector<TransferMember> members,
                      uint32_t chunks) {
    TransferState state = StartTransfer(self, chunks, m_limits, kStart);
    SetMembers(state, std::move(members), kStart, m_random);
    return state;
  }

  /// The origin draws that `state` asks for at `now`.
  std::vector<uint32_t> Draws(TransferState& state, TimePoint now) {
    std::vector<uint32_t> chunks;
    for (const FetchChunk& fetch : Step(state, now, m_random).m_fetches) {
      if (fetch.m_source.IsOrigin())
        chunks.push_back(fetch.m_chunk);
    }
    return chunks;
  }

  /// The host whose turn for the only chunk is second.
  TransferState NextInRank() {
    m_limits.m_patience = 1s;
    const std::vector<TransferMember> members = {kSelf, kNear, kOther};
    for (const TransferMember& self : members) {
      TransferState state = Start(self, members, 1);
      if (state.m_chunks[0].m_rank == 1)
        return state;
    }
    CPPUNIT_FAIL("nobody is second");
    return {};
  }

  TransferLimits m_limits;
  std::mt19937_64 m_random{7};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TransferHeldTest);

}  // namespace
}  // namespace verbenalead::decide
