#include "decide/transfer.h"

#include <algorithm>
#include <optional>

#include "decide/rendezvous.h"

namespace verbenalead::decide {
namespace {

constexpr Duration kShunAfterFailure = 500ms;
constexpr Duration kOriginBackOff = 200ms;

using Neighbour = TransferState::Neighbour;

bool CanServe(const TransferState& state,
              const Neighbour& neighbour,
              uint32_t chunk,
              TimePoint now) {
  return chunk < neighbour.m_have.size() && neighbour.m_have[chunk] &&
         neighbour.m_fetching < state.m_limits.m_max_per_host &&
         !neighbour.m_bad.contains(chunk) && now >= neighbour.m_shunned_until;
}

/// How many neighbours hold `chunk`.
uint32_t Copies(const TransferState& state, uint32_t chunk) {
  uint32_t copies = 0;
  for (const auto& [name, neighbour] : state.m_neighbours)
    copies += chunk < neighbour.m_have.size() && neighbour.m_have[chunk];
  return copies;
}

bool IsOurDraw(const TransferState& state, uint32_t chunk) {
  return RendezvousChoice(state.m_members, chunk) == state.m_self;
}

std::optional<ChunkSource> ChooseSource(const TransferState& state,
                                        uint32_t chunk,
                                        TimePoint now) {
  const std::string* best = nullptr;
  uint32_t best_fetching = 0;
  for (const auto& [name, neighbour] : state.m_neighbours) {
    if (!CanServe(state, neighbour, chunk, now))
      continue;
    if (best == nullptr || neighbour.m_fetching < best_fetching) {
      best = &name;
      best_fetching = neighbour.m_fetching;
    }
  }
  if (best != nullptr)
    return ChunkSource{*best};
  const bool origin_ready =
      state.m_origin_fetching < state.m_limits.m_max_origin &&
      now >= state.m_origin_retry_at;
  if (!origin_ready || Copies(state, chunk) > 0)
    return std::nullopt;
  const bool waited = now - state.m_started > state.m_limits.m_origin_patience;
  if (waited || IsOurDraw(state, chunk))
    return ChunkSource{};
  return std::nullopt;
}

void Begin(TransferState& state, const FetchChunk& fetch) {
  state.m_fetching[fetch.m_chunk] = fetch.m_source;
  if (fetch.m_source.IsOrigin())
    ++state.m_origin_fetching;
  else
    ++state.m_neighbours[fetch.m_source.m_host].m_fetching;
}

/// Ends the fetch of `chunk`; nullopt if none was under way.
std::optional<ChunkSource> End(TransferState& state, uint32_t chunk) {
  auto found = state.m_fetching.find(chunk);
  if (found == state.m_fetching.end())
    return std::nullopt;
  const ChunkSource source = found->second;
  state.m_fetching.erase(found);
  if (source.IsOrigin()) {
    --state.m_origin_fetching;
  } else if (auto neighbour = state.m_neighbours.find(source.m_host);
             neighbour != state.m_neighbours.end() &&
             neighbour->second.m_fetching > 0) {
    --neighbour->second.m_fetching;
  }
  return source;
}

/// The missing chunks, rarest first, ties in random order so that neighbours
/// with equal knowledge don't all ask for the same one.
std::vector<uint32_t> MissingRarestFirst(const TransferState& state,
                                         std::mt19937_64& random) {
  std::vector<uint32_t> missing;
  for (uint32_t chunk = 0; chunk < state.m_chunk_count; ++chunk) {
    if (!state.m_have[chunk] && !state.m_fetching.contains(chunk))
      missing.push_back(chunk);
  }
  std::shuffle(missing.begin(), missing.end(), random);
  std::vector<uint32_t> copies(state.m_chunk_count);
  for (uint32_t chunk : missing)
    copies[chunk] = Copies(state, chunk);
  std::stable_sort(missing.begin(), missing.end(), [&](uint32_t a, uint32_t b) {
    return copies[a] < copies[b];
  });
  return missing;
}

}  // namespace

TransferState StartTransfer(std::string self,
                            uint32_t chunk_count,
                            TransferLimits limits,
                            TimePoint now) {
  TransferState state;
  state.m_self = std::move(self);
  state.m_chunk_count = chunk_count;
  state.m_limits = limits;
  state.m_started = now;
  state.m_have.resize(chunk_count);
  return state;
}

void SetMembers(TransferState& state, std::vector<std::string> members) {
  state.m_members = std::move(members);
}

void NeighbourHas(TransferState& state,
                  const std::string& host,
                  std::vector<bool> have) {
  state.m_neighbours[host].m_have = std::move(have);
}

void NeighbourLost(TransferState& state, const std::string& host) {
  auto found = state.m_neighbours.find(host);
  if (found != state.m_neighbours.end())
    found->second.m_have.clear();
}

void ChunkArrived(TransferState& state, uint32_t chunk) {
  End(state, chunk);
  if (state.m_have[chunk])
    return;
  state.m_have[chunk] = true;
  ++state.m_have_count;
}

void ChunkFailed(TransferState& state,
                 uint32_t chunk,
                 bool corrupt,
                 TimePoint now) {
  const auto source = End(state, chunk);
  if (!source)
    return;
  if (source->IsOrigin()) {
    state.m_origin_retry_at = now + kOriginBackOff;
    return;
  }
  Neighbour& neighbour = state.m_neighbours[source->m_host];
  if (corrupt)
    neighbour.m_bad.insert(chunk);
  else
    neighbour.m_shunned_until = now + kShunAfterFailure;
}

std::vector<FetchChunk> NextFetches(TransferState& state,
                                    TimePoint now,
                                    std::mt19937_64& random) {
  std::vector<FetchChunk> fetches;
  if (state.m_fetching.size() >= state.m_limits.m_max_fetches)
    return fetches;
  for (uint32_t chunk : MissingRarestFirst(state, random)) {
    if (state.m_fetching.size() >= state.m_limits.m_max_fetches)
      break;
    const auto source = ChooseSource(state, chunk, now);
    if (!source)
      continue;
    fetches.push_back({chunk, *source});
    Begin(state, fetches.back());
  }
  return fetches;
}

}  // namespace verbenalead::decide
