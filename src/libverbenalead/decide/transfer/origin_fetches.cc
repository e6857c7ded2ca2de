#include "decide/transfer/origin_fetches.h"

#include <algorithm>
#include <optional>

#include "decide/transfer/transfer.h"
#include "decide/transfer/transfer_schedule.h"

namespace verbenalead::decide {
namespace {

/// Initial backoff from the origin. The origin's link is shared: hosts that all
/// retried at once would keep it overloaded, so the backoff doubles and has
/// jitter.
constexpr Duration kMinOriginBackOff = 200ms;
/// Number of hosts that come first for a chunk after an origin fetch of it has
/// failed, and how many take-over delays later hosts wait for each of them.
constexpr uint16_t kFirstRanks = 3;
constexpr int kDelaysPerFirstRank = 2;
/// Spare origin fetches are for the end of a transfer: with more chunks missing
/// than this, fetches from neighbours keep a host's link busy anyhow, and the
/// origin's link is needed for first copies.
constexpr uint32_t kMaxMissingForSpareFetch = 8;
/// An origin fetch without an answer after this time hangs.
constexpr Duration kHangTime = 200ms;
/// Number of take-over delays without an origin fetch after which a host
/// ignores the announcements of others.
constexpr int kMaxDelaysWithoutFetch = 3;

bool OriginReady(const TransferState& state, TimePoint now) {
  return !state.m_probe.m_unavailable &&
         state.m_origin_fetching < state.m_limits.m_max_own_origin_fetches &&
         now >= state.m_origin_retry_at;
}

/// The fetch from another host that has waited longest, if it has waited longer
/// than the usual time.
std::optional<FetchChunk> LongestWaitingFetch(const TransferState& state,
                                              TimePoint now) {
  std::optional<FetchChunk> longest;
  TimePoint begun = now - state.m_wait;
  for (const auto& [chunk, fetch] : state.m_fetching) {
    if (fetch.m_source.IsOrigin() || fetch.m_started_at >= begun)
      continue;
    begun = fetch.m_started_at;
    longest = FetchChunk{chunk, fetch.m_source};
  }
  return longest;
}

uint32_t OriginFetchesElsewhere(const TransferState& state, TimePoint now) {
  uint32_t count = 0;
  for (const auto& [host, report] : state.m_announced_fetches) {
    if (now - report.first < state.m_limits.m_announcement_ttl)
      count += report.second;
  }
  return count;
}

uint32_t OriginFetchRoom(const TransferState& state, TimePoint now) {
  const uint32_t under_way =
      state.m_origin_fetching + OriginFetchesElsewhere(state, now);
  const uint32_t most = state.m_limits.m_max_origin_fetches;
  return most - std::min(most, under_way);
}

void StartOriginFetch(TransferState& state,
                      uint32_t chunk,
                      TimePoint now,
                      TransferActions& actions) {
  state.m_last_origin_start = now;
  StartFetch(state, chunk, {}, now, actions);
}

/// Whether chunks that are due by their schedule may be fetched from the
/// origin.
///
/// Failure: the origin is unreachable for seconds. Symptom: chunks become
/// overdue at many hosts, and all of these fetch them when it returns. At least
/// the first two hosts in rank fetch each chunk, so that for a long time the
/// origin's link completes no chunk. While no origin fetch succeeds, only
/// StartOriginFetchesInOrder starts fetches, which follows ranks and
/// announcements. A host that is held back by wrong announcements, or by those
/// of fetches that fail, still makes one attempt in kMaxDelaysWithoutFetch
/// take-over delays.
bool MayFetchByTime(const TransferState& state, TimePoint now) {
  const TransferLimits& limits = state.m_limits;
  if (limits.m_max_origin_fetches == 0)
    return true;
  const TimePoint last = std::max(state.m_last_origin_start, state.m_started);
  if (now - last >= kMaxDelaysWithoutFetch * limits.m_takeover_delay)
    return true;
  const TimePoint last_success =
      std::max(state.m_last_origin_success, state.m_started);
  return now - last_success < limits.m_takeover_delay &&
         OriginFetchRoom(state, now) > 0;
}

/// Whether the hosts that precede this one in rank have had time to announce an
/// origin fetch of the chunk since it became open.
bool PrecedingHostsTimedOut(const TransferState& state,
                            const TransferState::Chunk& chunk,
                            TimePoint now) {
  return now - chunk.m_open_since.value_or(now) >=
         chunk.m_rank * (state.m_limits.m_announcement_ttl / 2);
}

void BackOffFromOrigin(TransferState& state,
                       TimePoint now,
                       std::mt19937_64& random) {
  const uint32_t doublings = std::min<uint32_t>(state.m_origin_failures, 6);
  ++state.m_origin_failures;
  const Duration longest =
      std::min<Duration>(state.m_limits.m_max_origin_backoff,
                         kMinOriginBackOff * (1 << doublings));
  std::uniform_int_distribution<int64_t> jitter(longest.count() / 2,
                                                longest.count());
  state.m_origin_retry_at = now + Duration(jitter(random));
}

/// Reschedules a chunk after a failed origin fetch.
///
/// Failure: the origin is unreachable for seconds, in which the scheduled times
/// of many hosts pass for the same chunks. Symptom: all of them fetch these
/// chunks when it returns, and its link carries each chunk many times. A host
/// that found the origin unreachable therefore waits again for the first
/// kFirstRanks hosts, which retry often. It does not wait for all hosts that
/// precede it, since some of those may be dead.
void WaitForFirstRanks(TransferState& state, uint32_t chunk, TimePoint now) {
  TransferState::Chunk& entry = state.m_chunks[chunk];
  const Duration takeover_delay = state.m_limits.m_takeover_delay;
  entry.m_origin_ranks_from = now - entry.m_rank * takeover_delay +
                              kDelaysPerFirstRank *
                                  std::min(entry.m_rank, kFirstRanks) *
                                  takeover_delay;
  ScheduleChunk(state, chunk);
}

void HoldOriginFetch(TransferState& state, uint32_t chunk, TimePoint until) {
  if (chunk >= state.m_chunks.size())
    return;
  TransferState::Chunk& entry = state.m_chunks[chunk];
  entry.m_announced_until = std::max(entry.m_announced_until, until);
  // Hosts that were held back for a long time must not start together.
  entry.m_open_since.reset();
  ScheduleChunk(state, chunk);
}

/// Gives overdue chunks new scheduled times in order after the origin's return,
/// so that again one host comes first for each chunk.
void RescheduleOverdue(TransferState& state, TimePoint now) {
  TimePoint due = now;
  for (uint32_t chunk = 0; chunk < state.m_chunks.size(); ++chunk) {
    TransferState::Chunk& entry = state.m_chunks[chunk];
    if (entry.m_schedule != TransferState::Schedule::kOriginFetches)
      continue;
    entry.m_origin_ranks_from = std::max(entry.m_origin_ranks_from, due);
    ScheduleChunk(state, chunk);
    due += state.m_limits.m_origin_interval;
  }
}

/// Called when the origin answers again. Cancels the origin fetches for which
/// no data was received: those that are older than kHangTime, and those of
/// chunks for which another host comes first.
///
/// Failure: the origin returns while the probes of several hosts are under way,
/// and the answer to one of them is announced. Symptom: the hosts that come
/// first for the chunks of the other probes fetch these too, as probes hold no
/// chunk back, and the origin sends them twice.
void CancelUnansweredFetches(TransferState& state, TimePoint now) {
  std::vector<uint32_t> unanswered;
  for (const auto& [chunk, fetch] : state.m_fetching) {
    if (fetch.m_source.IsOrigin() && fetch.m_progress == fetch.m_started_at &&
        (now - fetch.m_started_at >= kHangTime ||
         state.m_chunks[chunk].m_rank > 0))
      unanswered.push_back(chunk);
  }
  for (const uint32_t chunk : unanswered) {
    EndFetch(state, chunk);
    state.m_pending.m_cancels.push_back({chunk, {}});
  }
}

/// The chunk that this host probes with: the one for which the fewest hosts
/// precede it, so that hosts whose probes are answered together rarely fetch
/// the same chunk.
std::optional<uint32_t> ChunkToProbeWith(const TransferState& state) {
  std::optional<uint32_t> best;
  for (const auto& [due, chunk] : state.m_origin_schedule) {
    const TransferState::Chunk& entry = state.m_chunks[chunk];
    if (!entry.m_origin_fetched &&
        (!best || entry.m_rank < state.m_chunks[*best].m_rank))
      best = chunk;
  }
  return best;
}

}  // namespace

uint32_t ShareOfSpareFetches(const TransferState& state,
                             std::mt19937_64& random) {
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

void StartDueOriginFetches(TransferState& state,
                           TimePoint now,
                           TransferActions& actions) {
  while (OriginReady(state, now) && !state.m_origin_schedule.empty() &&
         state.m_origin_schedule.begin()->first <= now &&
         MayFetchByTime(state, now))
    StartOriginFetch(state, state.m_origin_schedule.begin()->second, now,
                     actions);
}

void StartOriginFetchesInOrder(TransferState& state,
                               TimePoint now,
                               TransferActions& actions) {
  if (state.m_probe.m_unavailable)
    return;
  uint32_t room = OriginFetchRoom(state, now);
  for (uint32_t chunk = 0; chunk < state.m_chunks.size() && room > 0; ++chunk) {
    TransferState::Chunk& entry = state.m_chunks[chunk];
    if (entry.m_schedule != TransferState::Schedule::kOriginFetches ||
        entry.m_origin_fetched || entry.m_announced_until > now) {
      entry.m_open_since.reset();
      continue;
    }
    --room;
    if (!entry.m_open_since)
      entry.m_open_since = now;
    if (PrecedingHostsTimedOut(state, entry, now) && OriginReady(state, now))
      StartOriginFetch(state, chunk, now, actions);
  }
}

void StartOriginProbe(TransferState& state,
                      TimePoint now,
                      TransferActions& actions) {
  if (!state.m_probe.m_unavailable ||
      state.m_origin_fetching >= state.m_limits.m_max_own_origin_fetches ||
      now < NextProbeTime(state.m_probe, state.m_members, state.m_self.m_name))
    return;
  const auto chunk = ChunkToProbeWith(state);
  if (!chunk)
    return;
  RecordOriginProbe(state.m_probe, state.m_self.m_name, now);
  StartOriginFetch(state, *chunk, now, actions);
}

void StartSpareOriginFetches(TransferState& state,
                             TimePoint now,
                             TransferActions& actions) {
  const uint32_t missing =
      static_cast<uint32_t>(state.m_chunks.size()) - state.m_have_count;
  if (missing > kMaxMissingForSpareFetch || !state.m_origin_schedule.empty())
    return;
  while (state.m_spare_fetches > 0 && OriginReady(state, now)) {
    const auto longest = LongestWaitingFetch(state, now);
    if (!longest)
      return;
    --state.m_spare_fetches;
    EndFetch(state, longest->m_chunk);
    actions.m_cancels.push_back(*longest);
    StartFetch(state, longest->m_chunk, {}, now, actions);
  }
}

void RecordOriginSuccess(TransferState& state, TimePoint now) {
  RecordOriginAnswer(state, now);
  const TimePoint before =
      std::max(state.m_last_origin_success, state.m_started);
  state.m_last_origin_success = now;
  state.m_origin_failures = 0;
  state.m_origin_retry_at = std::min(state.m_origin_retry_at, now);
  if (state.m_limits.m_max_origin_fetches == 0 ||
      now - before < state.m_limits.m_takeover_delay)
    return;
  RescheduleOverdue(state, now);
}

bool RecordOriginAnswer(TransferState& state, TimePoint now) {
  if (!RecordProbeAnswer(state.m_probe, now))
    return false;
  state.m_last_origin_success = now;
  state.m_origin_failures = 0;
  state.m_origin_retry_at = std::min(state.m_origin_retry_at, now);
  // The time for which chunks were open during the outage must not count, or
  // hosts of all ranks start at the same time.
  for (TransferState::Chunk& chunk : state.m_chunks)
    chunk.m_open_since.reset();
  CancelUnansweredFetches(state, now);
  RescheduleOverdue(state, now);
  return true;
}

void RecordOriginFailure(TransferState& state,
                         uint32_t chunk,
                         bool corrupt,
                         TimePoint now,
                         std::mt19937_64& random) {
  BackOffFromOrigin(state, now, random);
  if (!corrupt && state.m_limits.m_shared_probes)
    RecordOriginUnreachable(state.m_probe, now);
  if (!corrupt)
    WaitForFirstRanks(state, chunk, now);
}

void RecordOriginFetches(TransferState& state,
                         const OriginFetchReport& report,
                         TimePoint now) {
  // A probe doesn't hold chunks back: most probes fail, and hosts that waited
  // for them would start late after the return.
  if (report.m_origin == OriginStatus::kProbed &&
      state.m_limits.m_shared_probes &&
      RecordOriginProbe(state.m_probe, report.m_host, now))
    return;
  if (report.m_origin == OriginStatus::kAnswers)
    RecordOriginAnswer(state, now);
  if (report.m_in_progress.empty()) {
    state.m_announced_fetches.erase(report.m_host);
  } else {
    state.m_announced_fetches[report.m_host] = {
        now, static_cast<uint32_t>(report.m_in_progress.size())};
  }
  for (uint32_t chunk : report.m_in_progress)
    HoldOriginFetch(state, chunk, now + state.m_limits.m_announcement_ttl);
  for (uint32_t chunk : report.m_origin_fetched) {
    HoldOriginFetch(state, chunk, now + state.m_limits.m_takeover_delay);
    if (chunk < state.m_chunks.size())
      state.m_chunks[chunk].m_origin_fetched = true;
  }
  if (!report.m_origin_fetched.empty())
    RecordOriginSuccess(state, now);
}

}  // namespace verbenalead::decide
