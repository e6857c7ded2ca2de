#include "decide/transfer/transfer.h"

#include <algorithm>
#include <bit>
#include <optional>

#include "decide/transfer/origin_fetches.h"
#include "decide/transfer/transfer_plan.h"
#include "decide/transfer/transfer_schedule.h"

namespace verbenalead::decide {
namespace {

/// A failed fetch usually means that the host has just died or is overloaded.
/// No chunk is requested from it for this long, doubled with each further
/// failure, so that requests to it do not take up the limited number of
/// concurrent fetches.
constexpr Duration kBackoffAfterFailure = 500ms;
constexpr Duration kMaxBackoff = 10s;
/// Consecutive failures after which a neighbour is replaced. A single one may
/// be due to the chunk, or to a pause of the host.
constexpr uint32_t kMaxFailures = 3;
/// Number of corrupt chunks after which a host gets no requests for a while:
/// links corrupt one chunk in a hundred, but a host with faulty memory keeps
/// sending corrupt ones.
constexpr size_t kMaxBadChunks = 4;
constexpr Duration kBackoffAfterBadChunks = 10s;
/// The weight of a new sample in a smoothed wait is 1 / kSmoothingDivisor.
constexpr int kSmoothingDivisor = 8;
/// An import that is due but has no available source is retried after this
/// time.
constexpr Duration kImportRetry = 20ms;
constexpr Duration kRefillInterval = 1s;

using Neighbour = TransferNeighbour;

Duration Smoothed(Duration old, Duration sample) {
  return old == Duration() ? sample : old + (sample - old) / kSmoothingDivisor;
}

/// Concurrent fetches from one neighbour: one, where there are enough
/// neighbours. Two from one host queue there while the link of another host is
/// idle. The only host of a region has only neighbours in other regions; with
/// one fetch from each it transferred at a twentieth of its speed.
uint32_t FetchesPerHost(const TransferState& state) {
  const auto all =
      std::count_if(state.m_neighbours.begin(), state.m_neighbours.end(),
                    [](const Neighbour& each) { return !each.m_name.empty(); });
  const auto in_region =
      static_cast<uint32_t>(std::popcount(state.m_in_region));
  const uint32_t hosts =
      in_region != 0 ? in_region : static_cast<uint32_t>(all);
  if (hosts == 0)
    return 1;
  return (state.m_limits.m_max_fetches + hosts - 1) / hosts;
}

/// Neighbours that may get another request now, as a bit mask.
uint64_t AvailableNeighbours(const TransferState& state, TimePoint now) {
  uint64_t mask = 0;
  const uint32_t per_host = FetchesPerHost(state);
  for (size_t i = 0; i < state.m_neighbours.size(); ++i) {
    const Neighbour& neighbour = state.m_neighbours[i];
    if (!neighbour.m_name.empty() && neighbour.m_fetching < per_host &&
        now >= neighbour.m_fetch_backoff_until)
      mask |= uint64_t{1} << i;
  }
  return mask;
}

/// Expected duration of a fetch from `neighbour`, multiplied by a factor for
/// its distance. Among equal hosts those of the same data centre are chosen,
/// but a long queue there weighs more than a hop within the region, whose links
/// are as fast.
double Cost(const Neighbour& neighbour) {
  constexpr double kDistanceFactor[] = {1.0, 1.25, 1.5};
  const auto wait = static_cast<double>(neighbour.m_wait.count());
  return wait * (1 + neighbour.m_fetching) *
         kDistanceFactor[static_cast<size_t>(neighbour.m_distance)];
}

/// The neighbour of `mask` with the lowest cost; `mask` is not 0. Ties are
/// broken at random: hosts with equal information must not all choose the same
/// neighbour.
size_t BestNeighbour(const TransferState& state,
                     uint64_t mask,
                     std::mt19937_64& random) {
  const size_t count = state.m_neighbours.size();
  const size_t first = random() % count;
  size_t best = count;
  double best_cost = 0;
  for (size_t i = 0; i < count; ++i) {
    const size_t index = (first + i) % count;
    if (!(mask >> index & 1))
      continue;
    const double cost = Cost(state.m_neighbours[index]);
    if (best == count || cost < best_cost) {
      best = index;
      best_cost = cost;
    }
  }
  return best;
}

/// The rarest chunk that an available neighbour of the same region has. Within
/// a bucket the search begins at a random position, so that neighbours do not
/// all fetch the same chunk.
std::optional<uint32_t> RarestChunk(const TransferState& state,
                                    uint64_t available,
                                    std::mt19937_64& random) {
  for (uint32_t copies = 1; copies <= ChunkBuckets::kMaxCopies; ++copies) {
    const std::vector<uint32_t>& bucket = state.m_rarest.Bucket(copies);
    if (bucket.empty())
      continue;
    const size_t first = random() % bucket.size();
    for (size_t i = 0; i < bucket.size(); ++i) {
      const uint32_t chunk = bucket[(first + i) % bucket.size()];
      if (state.m_chunks[chunk].m_holders & state.m_in_region & available)
        return chunk;
    }
  }
  return std::nullopt;
}

uint32_t PeerFetches(const TransferState& state) {
  return static_cast<uint32_t>(state.m_fetching.size()) -
         state.m_origin_fetching;
}

/// Fetches chunks that this host has to import into its region and that a
/// neighbour in another region has.
void StartDueImports(TransferState& state,
                     TimePoint now,
                     std::mt19937_64& random,
                     TransferActions& actions) {
  while (!state.m_import_schedule.empty() &&
         state.m_import_schedule.begin()->first <= now) {
    const auto [at, chunk] = *state.m_import_schedule.begin();
    const uint64_t sources =
        state.m_chunks[chunk].m_holders & AvailableNeighbours(state, now);
    if (sources != 0) {
      const size_t index = BestNeighbour(state, sources, random);
      StartFetch(state, chunk, {state.m_neighbours[index].m_name}, now,
                 actions);
      continue;
    }
    DeferImport(state, chunk, now + kImportRetry);
  }
}

uint32_t MaxPeerFetches(const TransferState& state) {
  const size_t missing = state.m_chunks.size() - state.m_have_count;
  return missing < state.m_limits.m_last_chunks
             ? std::max(state.m_window.m_size,
                        state.m_limits.m_min_last_fetches)
             : state.m_window.m_size;
}

void FetchRarest(TransferState& state,
                 TimePoint now,
                 std::mt19937_64& random,
                 TransferActions& actions) {
  while (PeerFetches(state) < MaxPeerFetches(state)) {
    const uint64_t available =
        AvailableNeighbours(state, now) & state.m_in_region;
    if (available == 0)
      return;
    const auto chunk = RarestChunk(state, available, random);
    if (!chunk)
      return;
    const size_t index = BestNeighbour(
        state, state.m_chunks[*chunk].m_holders & available, random);
    StartFetch(state, *chunk, {state.m_neighbours[index].m_name}, now, actions);
  }
}

/// Whether fewer neighbours than the limit are followed at `distance`.
bool HasNeighbourRoom(const TransferState& state, Distance distance) {
  const TransferLimits& limits = state.m_limits;
  const uint32_t most[] = {limits.m_data_center_neighbours,
                           limits.m_region_neighbours,
                           limits.m_remote_neighbours};
  const auto count = std::count_if(
      state.m_neighbours.begin(), state.m_neighbours.end(),
      [distance](const TransferNeighbour& each) {
        return !each.m_name.empty() && each.m_distance == distance;
      });
  return count < most[static_cast<size_t>(distance)];
}

Duration StallTime(const TransferState& state) {
  const TransferLimits& limits = state.m_limits;
  if (state.m_wait == Duration())
    return limits.m_max_stall;
  return std::clamp<Duration>(limits.m_stall_factor * state.m_wait,
                              limits.m_min_stall, limits.m_max_stall);
}

void BackOffFrom(Neighbour& neighbour, TimePoint now) {
  const uint32_t doublings = std::min<uint32_t>(neighbour.m_failures, 5);
  ++neighbour.m_failures;
  neighbour.m_fetch_backoff_until =
      now +
      std::min<Duration>(kMaxBackoff, kBackoffAfterFailure * (1 << doublings));
}

void ReplaceNeighbour(TransferState& state,
                      size_t index,
                      TimePoint now,
                      std::mt19937_64& random) {
  const std::string name = state.m_neighbours[index].m_name;
  const Distance distance = state.m_neighbours[index].m_distance;
  RemoveNeighbour(state, index, now);
  if (const auto* candidate =
          RandomUnfollowedMember(state, distance, name, random))
    AddNeighbour(state, *candidate);
}

void RecordHostFailure(TransferState& state,
                       const std::string& host,
                       TimePoint now,
                       std::mt19937_64& random) {
  const auto index = FindNeighbour(state, host);
  if (!index)
    return;
  BackOffFrom(state.m_neighbours[*index], now);
  if (state.m_neighbours[*index].m_failures >= kMaxFailures)
    ReplaceNeighbour(state, *index, now, random);
}

void RecordBadChunk(TransferState& state,
                    const std::string& host,
                    uint32_t chunk,
                    TimePoint now) {
  const auto index = FindNeighbour(state, host);
  if (!index)
    return;
  Neighbour& neighbour = state.m_neighbours[*index];
  neighbour.m_bad_chunks.insert(chunk);
  if (neighbour.m_bad_chunks.size() % kMaxBadChunks == 0)
    neighbour.m_fetch_backoff_until = now + kBackoffAfterBadChunks;
  SetHasChunk(state, chunk, *index, false, now);
}

/// Follows further members up to the limits. In a small fleet a neighbour that
/// was lost has no substitute at once, and may return after a restart.
void RefillNeighbours(TransferState& state,
                      TimePoint now,
                      std::mt19937_64& random) {
  if (now < state.m_next_refill)
    return;
  state.m_next_refill = now + kRefillInterval;
  for (Distance distance :
       {Distance::kDataCenter, Distance::kRegion, Distance::kRemote}) {
    while (HasNeighbourRoom(state, distance)) {
      const auto* candidate =
          RandomUnfollowedMember(state, distance, "", random);
      if (candidate == nullptr)
        break;
      AddNeighbour(state, *candidate);
    }
  }
}

/// Cancels fetches that make no progress. One direction of a connection may
/// fail minutes before an error is reported, so progress is judged by the bytes
/// of the chunk that are received, not by the state of the connection.
void CancelStalled(TransferState& state,
                   TimePoint now,
                   std::mt19937_64& random) {
  if (now < state.m_next_stall_check)
    return;
  state.m_next_stall_check = now + kTransferTick;
  const TimePoint oldest = now - StallTime(state);
  std::vector<FetchChunk> stalled;
  for (const auto& [chunk, fetch] : state.m_fetching) {
    if (fetch.m_progress < oldest && !fetch.m_source.IsOrigin())
      stalled.push_back({chunk, fetch.m_source});
  }
  for (const FetchChunk& fetch : stalled) {
    if (!EndFetch(state, fetch.m_chunk))
      continue;
    state.m_pending.m_cancels.push_back(fetch);
    RecordHostFailure(state, fetch.m_source.m_host, now, random);
  }
}

}  // namespace

TransferState StartTransfer(TransferMember self,
                            uint32_t chunk_count,
                            TransferLimits limits,
                            TimePoint now,
                            TimePoint scheduled) {
  TransferState state;
  state.m_self = std::move(self);
  SetLimits(state, limits);
  state.m_started = now;
  state.m_chunks.resize(chunk_count);
  state.m_rarest = ChunkBuckets(chunk_count);
  for (uint32_t i = 0; i < chunk_count; ++i)
    state.m_chunks[i].m_origin_ranks_from =
        std::max(now, scheduled + i * limits.m_origin_interval);
  return state;
}

void SetLimits(TransferState& state, TransferLimits limits) {
  state.m_limits = limits;
  state.m_window = {limits.m_max_fetches, limits.m_slow_fetch_threshold};
}

void SetMembers(TransferState& state,
                std::vector<TransferMember> members,
                TimePoint now,
                std::mt19937_64& random) {
  if (members == state.m_members)
    return;
  const bool first = state.m_members.empty();
  state.m_members = std::move(members);
  if (first)
    state.m_spare_fetches = ShareOfSpareFetches(state, random);
  RankChunks(state);
  for (size_t i = 0; i < state.m_neighbours.size(); ++i) {
    const std::string& name = state.m_neighbours[i].m_name;
    const bool has_left =
        std::none_of(state.m_members.begin(), state.m_members.end(),
                     [&](const auto& member) { return member.m_name == name; });
    if (!name.empty() && has_left)
      RemoveNeighbour(state, i, now);
  }
  for (const TransferMember& member : PlanNeighbours(state)) {
    if (first || HasNeighbourRoom(state, DistanceBetween(state.m_self, member)))
      AddNeighbour(state, member);
  }
  for (uint32_t chunk = 0; chunk < state.m_chunks.size(); ++chunk)
    ScheduleChunk(state, chunk);
}

void RecordNeighbourChunks(TransferState& state,
                           const std::string& host,
                           const std::vector<uint32_t>& chunks,
                           TimePoint now) {
  const auto index = FindNeighbour(state, host);
  if (!index)
    return;
  for (uint32_t chunk : chunks) {
    if (chunk < state.m_chunks.size() &&
        !state.m_neighbours[*index].m_bad_chunks.contains(chunk))
      SetHasChunk(state, chunk, *index, true, now);
  }
}

void RecordNeighbourLoss(TransferState& state,
                         const std::string& host,
                         TimePoint now,
                         std::mt19937_64& random) {
  if (const auto index = FindNeighbour(state, host))
    ReplaceNeighbour(state, *index, now, random);
}

void RecordChunkProgress(TransferState& state, uint32_t chunk, TimePoint now) {
  auto found = state.m_fetching.find(chunk);
  if (found != state.m_fetching.end())
    found->second.m_progress = now;
}

void RecordChunkArrival(TransferState& state, uint32_t chunk, TimePoint now) {
  const auto fetch = EndFetch(state, chunk);
  if (fetch && fetch->m_source.IsOrigin()) {
    RecordOriginSuccess(state, now);
  } else if (fetch) {
    const Duration wait = now - fetch->m_started_at;
    state.m_wait = Smoothed(state.m_wait, wait);
    RecordArrival(state.m_window, wait);
    if (const auto index = FindNeighbour(state, fetch->m_source.m_host)) {
      Neighbour& neighbour = state.m_neighbours[*index];
      neighbour.m_wait = Smoothed(neighbour.m_wait, wait);
      neighbour.m_failures = 0;
    }
  }
  if (state.m_chunks[chunk].m_stored)
    return;
  state.m_chunks[chunk].m_stored = true;
  ++state.m_have_count;
  ScheduleChunk(state, chunk);
}

// Failure: the first copy of a chunk becomes corrupt in the host's store before
// another host has fetched it. Symptom: the host still lists the chunk as
// stored, fetches of all others from it fail, and the version is complete
// nowhere. Therefore the host fetches the chunk from the origin again at once,
// unless a neighbour is known to have it.
void RecordChunkLoss(TransferState& state, uint32_t chunk, TimePoint now) {
  if (chunk >= state.m_chunks.size() || !state.m_chunks[chunk].m_stored)
    return;
  TransferState::Chunk& entry = state.m_chunks[chunk];
  entry.m_stored = false;
  --state.m_have_count;
  entry.m_origin_ranks_from =
      now - entry.m_rank * state.m_limits.m_takeover_delay;
  ScheduleChunk(state, chunk);
}

void RecordChunkFailure(TransferState& state,
                        uint32_t chunk,
                        bool corrupt,
                        TimePoint now,
                        std::mt19937_64& random) {
  const auto fetch = EndFetch(state, chunk);
  if (!fetch)
    return;
  const std::string& host = fetch->m_source.m_host;
  if (fetch->m_source.IsOrigin()) {
    RecordOriginFailure(state, chunk, corrupt, now, random);
  } else if (corrupt) {
    RecordBadChunk(state, host, chunk, now);
  } else {
    RecordHostFailure(state, host, now, random);
  }
}

TransferActions Step(TransferState& state,
                     TimePoint now,
                     std::mt19937_64& random) {
  CancelStalled(state, now, random);
  RefillNeighbours(state, now, random);
  TransferActions actions = std::move(state.m_pending);
  state.m_pending = TransferActions();
  StartDueOriginFetches(state, now, actions);
  StartOriginFetchesInOrder(state, now, actions);
  StartOriginProbe(state, now, actions);
  StartDueImports(state, now, random, actions);
  FetchRarest(state, now, random, actions);
  StartSpareOriginFetches(state, now, actions);
  return actions;
}

}  // namespace verbenalead::decide
