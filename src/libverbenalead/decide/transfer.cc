#include "decide/transfer.h"

#include <algorithm>
#include <bit>
#include <optional>

#include "decide/transfer_book.h"
#include "decide/transfer_plan.h"

namespace verbenalead::decide {
namespace {

/// A failed fetch is most often a host that has just died or is overloaded:
/// left alone for this long, doubled with each failure that follows, its
/// requests don't fill the few places for fetches.
constexpr Duration kShunAfterFailure = 500ms;
constexpr Duration kMaxShun = 10s;
/// Failures in a row after which a neighbour is replaced: one may be the
/// chunk's own, or a pause of the host.
constexpr uint32_t kMaxFailures = 3;
/// Wrong chunks after which a host is left alone: links corrupt one chunk in a
/// hundred, but a host with bad memory goes on.
constexpr size_t kMaxBadChunks = 4;
constexpr Duration kShunAfterBadChunks = 10s;
/// The origin's link is shared: a burst of hosts that all tried again at once
/// would hold it down, so the wait doubles and is spread.
constexpr Duration kMinOriginBackOff = 200ms;
/// Hosts that go before all others for a chunk after a draw of it has failed,
/// and for how many patiences each of them is waited for.
constexpr uint16_t kFirstDrawers = 3;
constexpr int kWaitForDrawer = 2;
/// The new sample's part in a smoothed wait is 1 / kSmoothing.
constexpr int kSmoothing = 8;
/// A chunk that can't be brought in at its turn is looked at again then.
constexpr Duration kTurnRetry = 20ms;
/// Spare draws are for the end: with more missing than this, a host's link is
/// kept busy by its neighbours anyhow, and the origin's is needed for first
/// copies.
constexpr uint32_t kSpareDrawMissing = 8;

constexpr Duration kRefillInterval = 1s;

using Neighbour = TransferNeighbour;

Duration Smoothed(Duration old, Duration sample) {
  return old == Duration() ? sample : old + (sample - old) / kSmoothing;
}

/// Fetches from one neighbour at once. One, where there are enough of them:
/// two from one host queue there while another host's link is idle. The only
/// host of its region has far ones alone to ask; one fetch each left it at a
/// twentieth of its speed.
uint32_t FetchesPerHost(const TransferState& state) {
  const auto all =
      std::count_if(state.m_neighbours.begin(), state.m_neighbours.end(),
                    [](const Neighbour& each) { return !each.m_name.empty(); });
  const auto near = static_cast<uint32_t>(std::popcount(state.m_near));
  const uint32_t hosts = near != 0 ? near : static_cast<uint32_t>(all);
  if (hosts == 0)
    return 1;
  return (state.m_limits.m_max_fetches + hosts - 1) / hosts;
}

/// Neighbours that can be asked now, as a mask.
uint64_t Askable(const TransferState& state, TimePoint now) {
  uint64_t mask = 0;
  const uint32_t per_host = FetchesPerHost(state);
  for (size_t i = 0; i < state.m_neighbours.size(); ++i) {
    const Neighbour& neighbour = state.m_neighbours[i];
    if (!neighbour.m_name.empty() && neighbour.m_fetching < per_host &&
        now >= neighbour.m_shunned_until)
      mask |= uint64_t{1} << i;
  }
  return mask;
}

/// How long a chunk from `neighbour` is likely to take, with a surcharge for
/// distance: among equals the own data centre is chosen, but a long queue there
/// weighs more than a hop inside the region, whose links are as fast.
double Cost(const Neighbour& neighbour) {
  constexpr double kSurcharge[] = {1.0, 1.25, 1.5};
  const auto wait = static_cast<double>(neighbour.m_wait.count());
  return wait * (1 + neighbour.m_fetching) *
         kSurcharge[static_cast<size_t>(neighbour.m_distance)];
}

/// The best of the neighbours in `mask`, which isn't 0. Ties go to a random
/// one: hosts with equal knowledge must not all choose the same.
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

/// The rarest chunk that an askable neighbour of our region has. Within a
/// bucket the search begins at a random place, so that neighbours don't all
/// fetch the same chunk.
std::optional<uint32_t> RarestChunk(const TransferState& state,
                                    uint64_t askable,
                                    std::mt19937_64& random) {
  for (uint32_t copies = 1; copies <= ChunkBuckets::kMaxCopies; ++copies) {
    const std::vector<uint32_t>& bucket = state.m_rarest.Bucket(copies);
    if (bucket.empty())
      continue;
    const size_t first = random() % bucket.size();
    for (size_t i = 0; i < bucket.size(); ++i) {
      const uint32_t chunk = bucket[(first + i) % bucket.size()];
      if (state.m_chunks[chunk].m_holders & state.m_near & askable)
        return chunk;
    }
  }
  return std::nullopt;
}

uint32_t PeerFetches(const TransferState& state) {
  return static_cast<uint32_t>(state.m_fetching.size()) -
         state.m_origin_fetching;
}

void Begin(TransferState& state,
           uint32_t chunk,
           ChunkSource source,
           TimePoint now,
           TransferActions& actions) {
  actions.m_fetches.push_back({chunk, std::move(source)});
  BeginFetch(state, actions.m_fetches.back(), now);
}

bool OriginReady(const TransferState& state, TimePoint now) {
  return state.m_origin_fetching < state.m_limits.m_max_origin &&
         now >= state.m_origin_retry_at;
}

/// Chunks whose turn has come and that no neighbour is known to have. Each is
/// drawn by one host: load of all hosts at once, where every doubled draw is
/// paid for and takes the origin's link from a first copy.
void DrawDue(TransferState& state, TimePoint now, TransferActions& actions) {
  while (OriginReady(state, now) && !state.m_draws.empty() &&
         state.m_draws.begin()->first <= now)
    Begin(state, state.m_draws.begin()->second, {}, now, actions);
}

uint32_t DrawsElsewhere(const TransferState& state, TimePoint now) {
  uint32_t draws = 0;
  for (const auto& [host, told] : state.m_draws_elsewhere) {
    if (now - told.first < state.m_limits.m_draw_hold)
      draws += told.second;
  }
  return draws;
}

/// Whether the hosts that come before this one for a chunk that is open have
/// had their time to say that they draw it.
bool IsOurs(const TransferState& state,
            const TransferState::Chunk& chunk,
            TimePoint now) {
  return now - chunk.m_open_since.value_or(now) >=
         chunk.m_rank * (state.m_limits.m_draw_hold / 2);
}

/// The first chunks that nobody has and nobody draws are drawn without waiting
/// for their time, as many as the origin's link has room for. All hosts count
/// in the same order, so that each chunk is taken by the host that it is for,
/// or by the next one if that host is dead or late.
void DrawInOrder(TransferState& state,
                 TimePoint now,
                 TransferActions& actions) {
  const uint32_t under_way =
      state.m_origin_fetching + DrawsElsewhere(state, now);
  uint32_t room = state.m_limits.m_draws_at_once;
  room -= std::min(room, under_way);
  for (uint32_t chunk = 0; chunk < state.m_chunks.size() && room > 0; ++chunk) {
    TransferState::Chunk& entry = state.m_chunks[chunk];
    if (entry.m_place != TransferState::Place::kDraws || entry.m_drawn ||
        entry.m_held_until > now) {
      entry.m_open_since.reset();
      continue;
    }
    --room;
    if (!entry.m_open_since)
      entry.m_open_since = now;
    if (IsOurs(state, entry, now) && OriginReady(state, now))
      Begin(state, chunk, {}, now, actions);
  }
}

/// Chunks that are ours to bring into the region and have come up elsewhere.
void ImportDue(TransferState& state,
               TimePoint now,
               std::mt19937_64& random,
               TransferActions& actions) {
  while (!state.m_imports.empty() && state.m_imports.begin()->first <= now) {
    const auto [at, chunk] = *state.m_imports.begin();
    const uint64_t sources =
        state.m_chunks[chunk].m_holders & Askable(state, now);
    if (sources != 0) {
      const size_t index = BestNeighbour(state, sources, random);
      Begin(state, chunk, {state.m_neighbours[index].m_name}, now, actions);
      continue;
    }
    PostponeImport(state, chunk, now + kTurnRetry);
  }
}

void PullRarest(TransferState& state,
                TimePoint now,
                std::mt19937_64& random,
                TransferActions& actions) {
  while (PeerFetches(state) < state.m_window.m_size) {
    const uint64_t askable = Askable(state, now) & state.m_near;
    if (askable == 0)
      return;
    const auto chunk = RarestChunk(state, askable, random);
    if (!chunk)
      return;
    const size_t index = BestNeighbour(
        state, state.m_chunks[*chunk].m_holders & askable, random);
    Begin(state, *chunk, {state.m_neighbours[index].m_name}, now, actions);
  }
}

/// The fetch from a host that has waited longest, if that is longer than usual.
std::optional<FetchChunk> LongestWait(const TransferState& state,
                                      TimePoint now) {
  std::optional<FetchChunk> longest;
  TimePoint begun = now - state.m_wait;
  for (const auto& [chunk, fetch] : state.m_fetching) {
    if (fetch.m_source.IsOrigin() || fetch.m_begun >= begun)
      continue;
    begun = fetch.m_begun;
    longest = FetchChunk{chunk, fetch.m_source};
  }
  return longest;
}

/// The end of a time-first transfer: a host that lacks few chunks waits in its
/// neighbours' queues while the origin's link, done with the first copies,
/// stands idle. It may draw its share of the budget's surplus there, in place
/// of what it has waited for longest.
void DrawSpare(TransferState& state, TimePoint now, TransferActions& actions) {
  const uint32_t missing =
      static_cast<uint32_t>(state.m_chunks.size()) - state.m_have_count;
  if (missing > kSpareDrawMissing || !state.m_draws.empty())
    return;
  while (state.m_spare_draws > 0 && OriginReady(state, now)) {
    const auto waiting = LongestWait(state, now);
    if (!waiting)
      return;
    --state.m_spare_draws;
    EndFetch(state, waiting->m_chunk);
    actions.m_cancels.push_back(*waiting);
    Begin(state, waiting->m_chunk, {}, now, actions);
  }
}

/// False if there are as many neighbours at `distance` as there should be.
bool HasRoom(const TransferState& state, Distance distance) {
  const TransferLimits& limits = state.m_limits;
  const uint32_t most[] = {limits.m_data_center_neighbours,
                           limits.m_region_neighbours, limits.m_far_neighbours};
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

void Shun(Neighbour& neighbour, TimePoint now) {
  const uint32_t doublings = std::min<uint32_t>(neighbour.m_failures, 5);
  ++neighbour.m_failures;
  neighbour.m_shunned_until =
      now + std::min<Duration>(kMaxShun, kShunAfterFailure * (1 << doublings));
}

void BackOffFromOrigin(TransferState& state,
                       TimePoint now,
                       std::mt19937_64& random) {
  const uint32_t doublings = std::min<uint32_t>(state.m_origin_failures, 6);
  ++state.m_origin_failures;
  const Duration longest =
      std::min<Duration>(state.m_limits.m_max_origin_back_off,
                         kMinOriginBackOff * (1 << doublings));
  std::uniform_int_distribution<int64_t> jitter(longest.count() / 2,
                                                longest.count());
  state.m_origin_retry_at = now + Duration(jitter(random));
}

/// Failure: the origin is away for seconds, in which the turns of many hosts
/// come for the same chunks. Symptom: all of them draw these when it returns,
/// and its link carries each chunk many times. A host that found it away waits
/// for the first ones again, which try often. It doesn't wait for all that come
/// before it, since those may be dead.
void WaitForDrawer(TransferState& state, uint32_t chunk, TimePoint now) {
  TransferState::Chunk& entry = state.m_chunks[chunk];
  const Duration patience = state.m_limits.m_patience;
  entry.m_draw_base =
      now - entry.m_rank * patience +
      kWaitForDrawer * std::min(entry.m_rank, kFirstDrawers) * patience;
  FileChunk(state, chunk);
}

void HoldDraw(TransferState& state, uint32_t chunk, TimePoint until) {
  if (chunk >= state.m_chunks.size())
    return;
  TransferState::Chunk& entry = state.m_chunks[chunk];
  entry.m_held_until = std::max(entry.m_held_until, until);
  FileChunk(state, chunk);
}

void Replace(TransferState& state,
             size_t index,
             TimePoint now,
             std::mt19937_64& random) {
  const std::string name = state.m_neighbours[index].m_name;
  const Distance distance = state.m_neighbours[index].m_distance;
  RemoveNeighbour(state, index, now);
  if (const auto* spare = SpareNeighbour(state, distance, name, random))
    AddNeighbour(state, *spare);
}

void HostFailed(TransferState& state,
                const std::string& host,
                TimePoint now,
                std::mt19937_64& random) {
  const auto index = FindNeighbour(state, host);
  if (!index)
    return;
  Shun(state.m_neighbours[*index], now);
  if (state.m_neighbours[*index].m_failures >= kMaxFailures)
    Replace(state, *index, now, random);
}

void HostSentBadChunk(TransferState& state,
                      const std::string& host,
                      uint32_t chunk,
                      TimePoint now) {
  const auto index = FindNeighbour(state, host);
  if (!index)
    return;
  Neighbour& neighbour = state.m_neighbours[*index];
  neighbour.m_bad.insert(chunk);
  if (neighbour.m_bad.size() % kMaxBadChunks == 0)
    neighbour.m_shunned_until = now + kShunAfterBadChunks;
  SetHolder(state, chunk, *index, false, now);
}

/// Puts neighbours in free places. In a small fleet a lost neighbour has no
/// substitute at once, and may be back after a restart.
void RefillNeighbours(TransferState& state,
                      TimePoint now,
                      std::mt19937_64& random) {
  if (now < state.m_next_refill)
    return;
  state.m_next_refill = now + kRefillInterval;
  for (Distance distance :
       {Distance::kDataCenter, Distance::kRegion, Distance::kFar}) {
    while (HasRoom(state, distance)) {
      const auto* spare = SpareNeighbour(state, distance, "", random);
      if (spare == nullptr)
        break;
      AddNeighbour(state, *spare);
    }
  }
}

/// Gives up fetches that make no progress. Half of a connection may be dead
/// for minutes before anybody is told; the chunk is what we wait for, so the
/// chunk's bytes are what is watched.
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
    HostFailed(state, fetch.m_source.m_host, now, random);
  }
}

/// This host's part of the draws beyond the first copy. The remainder of the
/// division goes to hosts by chance, so that the sum is right on the mean.
uint32_t SpareDraws(const TransferState& state, std::mt19937_64& random) {
  const TransferLimits& limits = state.m_limits;
  if (limits.m_preference != TransferPreference::kTimeFirst ||
      limits.m_origin_budget_percent <= 100)
    return 0;
  const uint64_t spare =
      state.m_chunks.size() * (limits.m_origin_budget_percent - 100) / 100;
  const uint64_t hosts = std::max<uint64_t>(1, state.m_members.size());
  const bool one_more = random() % hosts < spare % hosts;
  return static_cast<uint32_t>(spare / hosts) + one_more;
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
    state.m_chunks[i].m_draw_base =
        std::max(now, scheduled + i * limits.m_origin_interval);
  return state;
}

void SetLimits(TransferState& state, TransferLimits limits) {
  state.m_limits = limits;
  state.m_window = {limits.m_max_fetches, limits.m_slow_wait};
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
    state.m_spare_draws = SpareDraws(state, random);
  RankChunks(state);
  for (size_t i = 0; i < state.m_neighbours.size(); ++i) {
    const std::string& name = state.m_neighbours[i].m_name;
    const bool gone =
        std::none_of(state.m_members.begin(), state.m_members.end(),
                     [&](const auto& member) { return member.m_name == name; });
    if (!name.empty() && gone)
      RemoveNeighbour(state, i, now);
  }
  for (const TransferMember& member : PlanNeighbours(state)) {
    if (first || HasRoom(state, DistanceBetween(state.m_self, member)))
      AddNeighbour(state, member);
  }
  for (uint32_t chunk = 0; chunk < state.m_chunks.size(); ++chunk)
    FileChunk(state, chunk);
}

void NeighbourHas(TransferState& state,
                  const std::string& host,
                  const std::vector<uint32_t>& chunks,
                  TimePoint now) {
  const auto index = FindNeighbour(state, host);
  if (!index)
    return;
  for (uint32_t chunk : chunks) {
    if (chunk < state.m_chunks.size() &&
        !state.m_neighbours[*index].m_bad.contains(chunk))
      SetHolder(state, chunk, *index, true, now);
  }
}

void HostDraws(TransferState& state, const DrawReport& report, TimePoint now) {
  state.m_draws_elsewhere[report.m_host] = {
      now, static_cast<uint32_t>(report.m_under_way.size())};
  for (uint32_t chunk : report.m_under_way)
    HoldDraw(state, chunk, now + state.m_limits.m_draw_hold);
  for (uint32_t chunk : report.m_drawn) {
    HoldDraw(state, chunk, now + state.m_limits.m_patience);
    if (chunk < state.m_chunks.size())
      state.m_chunks[chunk].m_drawn = true;
  }
  if (!report.m_drawn.empty()) {
    state.m_origin_failures = 0;
    state.m_origin_retry_at = std::min(state.m_origin_retry_at, now);
  }
}

void NeighbourLost(TransferState& state,
                   const std::string& host,
                   TimePoint now,
                   std::mt19937_64& random) {
  if (const auto index = FindNeighbour(state, host))
    Replace(state, *index, now, random);
}

void ChunkProgress(TransferState& state, uint32_t chunk, TimePoint now) {
  auto found = state.m_fetching.find(chunk);
  if (found != state.m_fetching.end())
    found->second.m_progress = now;
}

void ChunkArrived(TransferState& state, uint32_t chunk, TimePoint now) {
  const auto fetch = EndFetch(state, chunk);
  if (fetch && fetch->m_source.IsOrigin()) {
    state.m_origin_failures = 0;
  } else if (fetch) {
    const Duration wait = now - fetch->m_begun;
    state.m_wait = Smoothed(state.m_wait, wait);
    NoteArrival(state.m_window, wait);
    if (const auto index = FindNeighbour(state, fetch->m_source.m_host)) {
      Neighbour& neighbour = state.m_neighbours[*index];
      neighbour.m_wait = Smoothed(neighbour.m_wait, wait);
      neighbour.m_failures = 0;
    }
  }
  if (state.m_chunks[chunk].m_here)
    return;
  state.m_chunks[chunk].m_here = true;
  ++state.m_have_count;
  FileChunk(state, chunk);
}

void ChunkFailed(TransferState& state,
                 uint32_t chunk,
                 bool corrupt,
                 TimePoint now,
                 std::mt19937_64& random) {
  const auto fetch = EndFetch(state, chunk);
  if (!fetch)
    return;
  const std::string& host = fetch->m_source.m_host;
  if (fetch->m_source.IsOrigin()) {
    BackOffFromOrigin(state, now, random);
    if (!corrupt)
      WaitForDrawer(state, chunk, now);
  } else if (corrupt) {
    HostSentBadChunk(state, host, chunk, now);
  } else {
    HostFailed(state, host, now, random);
  }
}

TransferActions Step(TransferState& state,
                     TimePoint now,
                     std::mt19937_64& random) {
  CancelStalled(state, now, random);
  RefillNeighbours(state, now, random);
  TransferActions actions = std::move(state.m_pending);
  state.m_pending = TransferActions();
  DrawDue(state, now, actions);
  DrawInOrder(state, now, actions);
  ImportDue(state, now, random, actions);
  PullRarest(state, now, random, actions);
  DrawSpare(state, now, actions);
  return actions;
}

}  // namespace verbenalead::decide
