#ifndef VERBENALEAD_DECIDE_TRANSFER_TRANSFER_FIXTURE_H_
#define VERBENALEAD_DECIDE_TRANSFER_TRANSFER_FIXTURE_H_

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "decide/membership/rendezvous.h"
#include "decide/transfer/transfer.h"

namespace verbenalead::decide {

inline const TimePoint kStart{};
inline const TransferMember kSelf{"a", "mtl", "mtl-1"};
inline const TransferMember kSameDataCenter{"b", "mtl", "mtl-1"};
inline const TransferMember kSameRegion{"c", "mtl", "mtl-2"};
inline const TransferMember kOtherRegion{"d", "qc", "qc-1"};

/// Common helpers of the transfer tests.
class TransferFixture : public CppUnit::TestFixture {
 protected:
  TransferState Start(const TransferMember& self,
                      std::vector<TransferMember> members,
                      uint32_t chunks) {
    TransferState state = StartTransfer(self, chunks, m_limits, kStart);
    SetMembers(state, std::move(members), kStart, m_random);
    return state;
  }

  /// The chunks that `state` fetches from the origin at `now`.
  std::vector<uint32_t> OriginFetches(TransferState& state, TimePoint now) {
    std::vector<uint32_t> chunks;
    for (const FetchChunk& fetch : Step(state, now, m_random).m_fetches) {
      if (fetch.m_source.IsOrigin())
        chunks.push_back(fetch.m_chunk);
    }
    return chunks;
  }

  /// The state of the host that has rank 1 for the only chunk.
  TransferState SecondRankedHost() { return HostOfRank(1); }

  /// The state of the host that has this rank for the only chunk.
  TransferState HostOfRank(uint16_t rank) {
    m_limits.m_takeover_delay = 1s;
    const std::vector<TransferMember> members = {kSelf, kSameDataCenter,
                                                 kSameRegion};
    for (const TransferMember& self : members) {
      TransferState state = Start(self, members, 1);
      if (state.m_chunks[0].m_rank == rank)
        return state;
    }
    CPPUNIT_FAIL("no host has this rank");
    return {};
  }

  static std::string FirstRankedHost(const TransferState& state) {
    return state.m_members[RendezvousIndex(state.m_members, 0)].m_name;
  }

  static bool Follows(const TransferState& state, const std::string& host) {
    return std::any_of(
        state.m_neighbours.begin(), state.m_neighbours.end(),
        [&](const TransferNeighbour& each) { return each.m_name == host; });
  }

  TransferLimits m_limits;
  std::mt19937_64 m_random{7};
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_TRANSFER_FIXTURE_H_
