#include "entry/caller_addresses.h"

#include <utility>

#include "entry/peer_updates.h"

namespace verbenalead::entry {
namespace {

/// Least number of ready entries in the callers' data centre for these alone to
/// be listed. With a single one, its failure would leave callers without any
/// entry.
constexpr size_t kMinEntriesPerDataCenter = 2;

struct Candidates {
  std::vector<Endpoint> m_same_data_center;
  std::vector<Endpoint> m_all;
  std::vector<Endpoint> m_unready;
};

void Add(Candidates& candidates,
         const model::EntryAddress& entry,
         bool same_data_center,
         bool ready) {
  (ready ? candidates.m_all : candidates.m_unready).push_back(entry.m_callers);
  if (ready && same_data_center)
    candidates.m_same_data_center.push_back(entry.m_callers);
}

/// Collects this entry and all peers with a recent update, in the order of host
/// names from this entry on, wrapping around at the end.
Candidates CollectCandidates(const EntryState& state,
                             const std::string& data_center,
                             TimePoint now) {
  Candidates candidates;
  const model::EntryAddress& self = state.m_options.m_own_address;
  Add(candidates, self, self.m_data_center == data_center, IsReady(state));
  const auto add = [&](const PeerEntry& peer) {
    if (HasRecentUpdate(state, peer, now)) {
      Add(candidates, peer.m_address,
          peer.m_address.m_data_center == data_center, peer.m_ready);
    }
  };
  const auto next = state.m_peers.upper_bound(self.m_host);
  for (auto peer = next; peer != state.m_peers.end(); ++peer)
    add(peer->second);
  for (auto peer = state.m_peers.begin(); peer != next; ++peer)
    add(peer->second);
  return candidates;
}

}  // namespace

std::vector<Endpoint> EntriesForCallers(const EntryState& state,
                                        const std::string& data_center,
                                        size_t limit,
                                        TimePoint now) {
  Candidates candidates = CollectCandidates(state, data_center, now);
  std::vector<Endpoint> list = std::move(candidates.m_same_data_center);
  if (list.size() < kMinEntriesPerDataCenter)
    list = std::move(candidates.m_all);
  // An entry that is not ready still answers callers, with the time after which
  // to retry.
  if (list.empty())
    list = std::move(candidates.m_unready);
  if (list.size() > limit)
    list.resize(limit);
  return list;
}

}  // namespace verbenalead::entry
