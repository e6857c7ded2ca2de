#include "decide/transfer/transfer_plan.h"

#include <algorithm>
#include <limits>
#include <set>

#include "decide/membership/rendezvous.h"

namespace verbenalead::decide {
namespace {

constexpr uint64_t kRingSalt = ~uint64_t{1};
constexpr uint64_t kOffsetSalt = uint64_t{1} << 40;

using Ring = std::vector<const TransferMember*>;

/// The members at `distance`, in an order that is the same on all hosts.
Ring RingAt(const TransferState& state, Distance distance) {
  std::vector<std::pair<uint64_t, const TransferMember*>> sorted;
  for (const TransferMember& member : state.m_members) {
    if (DistanceBetween(state.m_self, member) == distance)
      sorted.emplace_back(MixHash(member.m_name, kRingSalt), &member);
  }
  std::sort(sorted.begin(), sorted.end());
  Ring ring;
  for (const auto& [hash, member] : sorted)
    ring.push_back(member);
  return ring;
}

/// The position of this host among the hosts of its data centre.
size_t PositionInRing(const TransferState& state, const Ring& own) {
  for (size_t i = 0; i < own.size(); ++i) {
    if (own[i]->m_name == state.m_self.m_name)
      return i;
  }
  return 0;
}

/// Adds `count` members of `ring`, at offsets from `position` that are the same
/// for all hosts that pass the same `salt`.
void PickFromRing(const TransferState& state,
                  const Ring& ring,
                  size_t position,
                  uint32_t count,
                  const std::string& salt,
                  std::set<TransferMember>& picked) {
  uint32_t added = 0;
  for (uint64_t i = 0; i < 4 * ring.size() && added < count; ++i) {
    const size_t offset = MixHash(salt, kOffsetSalt + i) % ring.size();
    const TransferMember& member = *ring[(position + offset) % ring.size()];
    if (member.m_name != state.m_self.m_name)
      added += picked.insert(member).second;
  }
}

/// A host follows the host of rank 0 of each chunk for which its own rank is at
/// most this.
constexpr uint16_t kMaxFollowedRank = 2;

/// Picks the hosts of rank 0 for chunks where this host has rank 1 or 2.
///
/// Failure: updates about a chunk take longer through a large fleet than the
/// take-over delay. Symptom: hosts that have not yet received them fetch the
/// chunk from the origin once more, and a third of the origin's link carries
/// chunks that hosts have already. Therefore the hosts that would take over
/// next receive the updates directly from the host that fetches the chunk.
void PickPrecedingFetchers(const TransferState& state,
                           std::set<TransferMember>& picked) {
  for (uint32_t chunk = 0; chunk < state.m_chunks.size(); ++chunk) {
    const uint16_t rank = state.m_chunks[chunk].m_rank;
    if (rank == 0 || rank > kMaxFollowedRank)
      continue;
    picked.insert(state.m_members[RendezvousIndex(state.m_members, chunk)]);
  }
}

/// Picks the hosts of other regions that fetch from the origin the chunks that
/// this host has to import into its region.
void PickImportSources(const TransferState& state,
                       std::set<TransferMember>& picked) {
  uint32_t added = 0;
  for (uint32_t chunk = 0; chunk < state.m_chunks.size(); ++chunk) {
    if (added >= state.m_limits.m_import_neighbours)
      return;
    const bool imported = state.m_chunks[chunk].m_region_rank == 0 &&
                          state.m_chunks[chunk].m_rank != 0;
    if (!imported)
      continue;
    const size_t fetcher = RendezvousIndex(state.m_members, chunk);
    const TransferMember& member = state.m_members[fetcher];
    if (member.m_region != state.m_self.m_region)
      added += picked.insert(member).second;
  }
}

uint16_t Saturated(uint32_t rank) {
  return static_cast<uint16_t>(
      std::min<uint32_t>(rank, std::numeric_limits<uint16_t>::max()));
}

}  // namespace

Distance DistanceBetween(const TransferMember& a, const TransferMember& b) {
  if (a.m_region != b.m_region)
    return Distance::kRemote;
  return a.m_data_center == b.m_data_center ? Distance::kDataCenter
                                            : Distance::kRegion;
}

void RankChunks(TransferState& state) {
  std::vector<uint64_t> all;
  std::vector<uint64_t> region;
  for (const TransferMember& member : state.m_members) {
    if (member.m_name == state.m_self.m_name)
      continue;
    all.push_back(HashName(member.m_name));
    if (member.m_region == state.m_self.m_region)
      region.push_back(all.back());
  }
  const uint64_t self = HashName(state.m_self.m_name);
  auto count_preceding = [&](const std::vector<uint64_t>& names,
                             uint32_t chunk) {
    const uint64_t own = MixNumber(self, chunk);
    uint32_t count = 0;
    for (uint64_t name : names)
      count += MixNumber(name, chunk) > own;
    return Saturated(count);
  };
  for (uint32_t i = 0; i < state.m_chunks.size(); ++i) {
    state.m_chunks[i].m_rank = count_preceding(all, i);
    state.m_chunks[i].m_region_rank = count_preceding(region, i);
  }
}

std::vector<TransferMember> PlanNeighbours(const TransferState& state) {
  const TransferLimits& limits = state.m_limits;
  const Ring own = RingAt(state, Distance::kDataCenter);
  const size_t position = PositionInRing(state, own);
  std::set<TransferMember> picked;
  PickFromRing(state, own, position, limits.m_data_center_neighbours, "own",
               picked);
  PickFromRing(state, RingAt(state, Distance::kRegion), position,
               limits.m_region_neighbours, state.m_self.m_data_center, picked);
  PickFromRing(state, RingAt(state, Distance::kRemote), position,
               limits.m_remote_neighbours, state.m_self.m_region, picked);
  PickImportSources(state, picked);
  PickPrecedingFetchers(state, picked);
  return {picked.begin(), picked.end()};
}

const TransferMember* RandomUnfollowedMember(const TransferState& state,
                                             Distance distance,
                                             const std::string& except,
                                             std::mt19937_64& random) {
  std::vector<const TransferMember*> candidates;
  for (const TransferMember& member : state.m_members) {
    if (member.m_name == state.m_self.m_name || member.m_name == except ||
        DistanceBetween(state.m_self, member) != distance)
      continue;
    const bool followed = std::any_of(
        state.m_neighbours.begin(), state.m_neighbours.end(),
        [&](const auto& each) { return each.m_name == member.m_name; });
    if (!followed)
      candidates.push_back(&member);
  }
  return candidates.empty() ? nullptr
                            : candidates[random() % candidates.size()];
}

}  // namespace verbenalead::decide
