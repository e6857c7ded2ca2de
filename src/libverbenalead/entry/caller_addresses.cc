#include "entry/caller_addresses.h"

#include <optional>
#include <set>
#include <utility>

#include "decide/regions/allowed_data_centers.h"
#include "entry/peer_updates.h"

namespace verbenalead::entry {
namespace {

/// Least number of ready entries in the callers' data centre for these alone to
/// be listed. With a single one, its failure would leave callers without any
/// entry.
constexpr size_t kMinEntriesPerDataCenter = 2;

/// Where a caller is, and which data centres its calls may enter.
struct CallerPlace {
  std::string m_data_center;
  /// Absent: all data centres.
  std::optional<std::set<std::string>> m_allowed;
};

/// Entries in the order in which the lists are preferred.
struct Candidates {
  std::vector<Endpoint> m_same_data_center;
  std::vector<Endpoint> m_allowed;
  std::vector<Endpoint> m_all;
  std::vector<Endpoint> m_unready_allowed;
  std::vector<Endpoint> m_unready;
};

CallerPlace PlaceOf(const EntryState& state,
                    const platform::DirectoryRequest& request) {
  CallerPlace place;
  place.m_data_center = request.m_data_center;
  const decide::RegionMap& regions = state.m_options.m_regions;
  if (!state.m_routes || regions.empty())
    return place;
  auto allowed = decide::RegionsForCallers(*state.m_routes, request.m_host);
  if (!allowed)
    return place;
  const auto own = regions.find(request.m_data_center);
  if (!request.m_region.empty())
    allowed->insert(request.m_region);
  else if (own != regions.end())
    allowed->insert(own->second);
  place.m_allowed.emplace();
  for (const auto& [data_center, region] : regions) {
    if (allowed->contains(region))
      place.m_allowed->insert(data_center);
  }
  return place;
}

void Add(Candidates& candidates,
         const CallerPlace& place,
         const model::EntryAddress& entry,
         bool ready) {
  const bool same_data_center = entry.m_data_center == place.m_data_center;
  const bool allowed = same_data_center || !place.m_allowed ||
                       place.m_allowed->contains(entry.m_data_center);
  (ready ? candidates.m_all : candidates.m_unready).push_back(entry.m_callers);
  if (allowed) {
    (ready ? candidates.m_allowed : candidates.m_unready_allowed)
        .push_back(entry.m_callers);
  }
  if (ready && same_data_center)
    candidates.m_same_data_center.push_back(entry.m_callers);
}

/// Collects this entry and all peers with a recent update, in the order of host
/// names from this entry on, wrapping around at the end.
Candidates CollectCandidates(const EntryState& state,
                             const CallerPlace& place,
                             TimePoint now) {
  Candidates candidates;
  const model::EntryAddress& self = state.m_options.m_own_address;
  Add(candidates, place, self, IsReady(state));
  const auto add = [&](const PeerEntry& peer) {
    if (HasRecentUpdate(state, peer, now))
      Add(candidates, place, peer.m_address, peer.m_ready);
  };
  const auto next = state.m_peers.upper_bound(self.m_host);
  for (auto peer = next; peer != state.m_peers.end(); ++peer)
    add(peer->second);
  for (auto peer = state.m_peers.begin(); peer != next; ++peer)
    add(peer->second);
  return candidates;
}

}  // namespace

std::vector<Endpoint> EntriesForCallers(
    const EntryState& state,
    const platform::DirectoryRequest& request,
    size_t limit,
    TimePoint now) {
  Candidates candidates =
      CollectCandidates(state, PlaceOf(state, request), now);
  std::vector<Endpoint> list = std::move(candidates.m_same_data_center);
  if (list.size() < kMinEntriesPerDataCenter)
    list = std::move(candidates.m_allowed);
  if (list.empty())
    list = std::move(candidates.m_all);
  // An entry that is not ready still answers callers, with the time after which
  // to retry.
  if (list.empty())
    list = std::move(candidates.m_unready_allowed);
  if (list.empty())
    list = std::move(candidates.m_unready);
  if (list.size() > limit)
    list.resize(limit);
  return list;
}

}  // namespace verbenalead::entry
