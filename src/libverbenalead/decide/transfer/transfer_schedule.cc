#include "decide/transfer/transfer_schedule.h"

#include <algorithm>
#include <bit>

namespace verbenalead::decide {
namespace {

constexpr size_t kMaxNeighbours = 64;

uint64_t Bit(size_t index) {
  return uint64_t{1} << index;
}

using Schedule = TransferState::Schedule;

void Unschedule(TransferState& state, uint32_t chunk) {
  TransferState::Chunk& entry = state.m_chunks[chunk];
  if (entry.m_schedule == Schedule::kRarestFirst)
    state.m_rarest.Erase(chunk);
  else if (entry.m_schedule == Schedule::kOriginFetches)
    state.m_origin_schedule.erase({entry.m_due_at, chunk});
  else if (entry.m_schedule == Schedule::kImports)
    state.m_import_schedule.erase({entry.m_due_at, chunk});
  entry.m_schedule = Schedule::kNone;
}

/// Number of take-over delays, multiplied by rank + 1, for which announcements
/// of other hosts may delay an origin fetch. Failure: a host that cannot reach
/// the origin announces its fetch of a chunk again and again. Symptom: the
/// chunk never arrives anywhere. After this time the next host in rank fetches
/// it too.
constexpr uint32_t kMaxHoldDelays = 2;

TimePoint DueTime(TimePoint base, uint32_t rank, Duration takeover_delay) {
  return base + rank * takeover_delay;
}

TimePoint OriginFetchDueTime(const TransferState::Chunk& chunk,
                             const TransferLimits& limits) {
  const TimePoint due =
      DueTime(chunk.m_origin_ranks_from, chunk.m_rank, limits.m_takeover_delay);
  const TimePoint latest =
      due + kMaxHoldDelays * (chunk.m_rank + 1) * limits.m_takeover_delay;
  // Hosts that were held back by the same announcement must not start together.
  const TimePoint hold_end = DueTime(chunk.m_announced_until, chunk.m_rank,
                                     limits.m_announcement_ttl / 2);
  return std::max(due, std::min(hold_end, latest));
}

}  // namespace

std::optional<size_t> FindNeighbour(const TransferState& state,
                                    const std::string& host) {
  for (size_t i = 0; i < state.m_neighbours.size(); ++i) {
    if (state.m_neighbours[i].m_name == host)
      return i;
  }
  return std::nullopt;
}

void ScheduleChunk(TransferState& state, uint32_t chunk) {
  TransferState::Chunk& entry = state.m_chunks[chunk];
  const uint64_t in_region = entry.m_holders & state.m_in_region;
  const bool wanted = !entry.m_stored && !entry.m_fetch_in_progress;
  // Fast path: nearly all updates report another copy of a chunk that the
  // region already has, and end here.
  if (wanted && in_region != 0 && entry.m_schedule == Schedule::kRarestFirst) {
    state.m_rarest.Put(chunk, static_cast<uint32_t>(std::popcount(in_region)));
    return;
  }
  Unschedule(state, chunk);
  if (!wanted)
    return;
  if (in_region != 0) {
    entry.m_schedule = Schedule::kRarestFirst;
    state.m_rarest.Put(chunk, static_cast<uint32_t>(std::popcount(in_region)));
  } else if (entry.m_holders != 0) {
    entry.m_due_at = DueTime(entry.m_import_ranks_from, entry.m_region_rank,
                             state.m_limits.m_takeover_delay);
    entry.m_schedule = Schedule::kImports;
    state.m_import_schedule.emplace(entry.m_due_at, chunk);
  } else {
    entry.m_due_at = OriginFetchDueTime(entry, state.m_limits);
    entry.m_schedule = Schedule::kOriginFetches;
    state.m_origin_schedule.emplace(entry.m_due_at, chunk);
  }
}

void DeferImport(TransferState& state, uint32_t chunk, TimePoint until) {
  Unschedule(state, chunk);
  TransferState::Chunk& entry = state.m_chunks[chunk];
  entry.m_due_at = until;
  entry.m_schedule = Schedule::kImports;
  state.m_import_schedule.emplace(until, chunk);
}

void SetHasChunk(TransferState& state,
                 uint32_t chunk,
                 size_t index,
                 bool holds,
                 TimePoint now) {
  TransferState::Chunk& entry = state.m_chunks[chunk];
  const uint64_t before = entry.m_holders;
  const uint64_t after = holds ? before | Bit(index) : before & ~Bit(index);
  if (after == before)
    return;
  // The schedule by ranks of the imports starts when the first copy is known,
  // and again when the last copy in the region is lost; that of the origin
  // fetches starts again when the last known copy is lost.
  const bool region_copies_lost =
      (before & state.m_in_region) && !(after & state.m_in_region);
  if (region_copies_lost || before == 0)
    entry.m_import_ranks_from = now;
  if (after == 0)
    entry.m_origin_ranks_from = std::max(entry.m_origin_ranks_from, now);
  entry.m_holders = after;
  ScheduleChunk(state, chunk);
}

void AddNeighbour(TransferState& state, const TransferMember& member) {
  if (FindNeighbour(state, member.m_name))
    return;
  auto free_index = FindNeighbour(state, "");
  if (!free_index) {
    if (state.m_neighbours.size() >= kMaxNeighbours)
      return;
    free_index = state.m_neighbours.size();
    state.m_neighbours.emplace_back();
  }
  TransferNeighbour& neighbour = state.m_neighbours[*free_index];
  neighbour = TransferNeighbour();
  neighbour.m_name = member.m_name;
  if (member.m_region != state.m_self.m_region)
    neighbour.m_distance = Distance::kRemote;
  else if (member.m_data_center != state.m_self.m_data_center)
    neighbour.m_distance = Distance::kRegion;
  if (neighbour.m_distance != Distance::kRemote)
    state.m_in_region |= Bit(*free_index);
  state.m_pending.m_follows.push_back(member.m_name);
}

void RemoveNeighbour(TransferState& state, size_t index, TimePoint now) {
  const std::string name = state.m_neighbours[index].m_name;
  std::vector<uint32_t> lost;
  for (const auto& [chunk, fetch] : state.m_fetching) {
    if (fetch.m_source.m_host == name)
      lost.push_back(chunk);
  }
  for (uint32_t chunk : lost) {
    state.m_pending.m_cancels.push_back({chunk, ChunkSource{name}});
    EndFetch(state, chunk);
  }
  for (uint32_t chunk = 0; chunk < state.m_chunks.size(); ++chunk)
    SetHasChunk(state, chunk, index, false, now);
  state.m_in_region &= ~Bit(index);
  state.m_neighbours[index] = TransferNeighbour();
  state.m_pending.m_unfollows.push_back(name);
}

void StartFetch(TransferState& state,
                uint32_t chunk,
                ChunkSource source,
                TimePoint now,
                TransferActions& actions) {
  state.m_fetching[chunk] = {source, now, now};
  state.m_chunks[chunk].m_fetch_in_progress = true;
  if (source.IsOrigin()) {
    ++state.m_origin_fetching;
  } else if (auto index = FindNeighbour(state, source.m_host)) {
    ++state.m_neighbours[*index].m_fetching;
  }
  ScheduleChunk(state, chunk);
  actions.m_fetches.push_back({chunk, std::move(source)});
}

std::optional<TransferState::Fetch> EndFetch(TransferState& state,
                                             uint32_t chunk) {
  auto found = state.m_fetching.find(chunk);
  if (found == state.m_fetching.end())
    return std::nullopt;
  const TransferState::Fetch fetch = found->second;
  state.m_fetching.erase(found);
  state.m_chunks[chunk].m_fetch_in_progress = false;
  if (fetch.m_source.IsOrigin()) {
    --state.m_origin_fetching;
  } else if (auto index = FindNeighbour(state, fetch.m_source.m_host)) {
    --state.m_neighbours[*index].m_fetching;
  }
  ScheduleChunk(state, chunk);
  return fetch;
}

}  // namespace verbenalead::decide
