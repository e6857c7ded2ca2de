#include "target/chunk_fetcher.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>

#include "base/log.h"
#include "base/sleep.h"
#include "base/spawn.h"
#include "decide/transfer/origin_fetches.h"
#include "decide/transfer/transfer.h"
#include "target/chunk_paths.h"
#include "target/transfer_members.h"
#include "wire/request_target.h"

namespace verbenalead::target {
namespace {

namespace asio = boost::asio;

/// Most concurrent fetches from other hosts. A sending host limits its rate and
/// serves several hosts; fetches from five hosts together keep the downlink
/// busy, at 42 ms per chunk and 9.4 Mbit/s.
constexpr uint32_t kMaxFetches = 5;
/// Most concurrent fetches of a version that is fetched ahead. The rest of the
/// older version mostly waits for other hosts, so the link has capacity left.
constexpr uint32_t kMaxFetchesAhead = 2;
/// This host's link counts as slow if a chunk takes longer than this factor
/// times the time of `kMaxFetches` concurrent chunks at the link's rate. A
/// chunk from a busy host takes twice its usual time.
constexpr int kSlowLinkFactor = 2;
/// An origin fetch that was not announced within this time after it was due is
/// taken over by the next host: all hosts must have the complete version within
/// 8 s.
constexpr Duration kOriginTakeoverDelay = 1s;
/// Longest backoff of origin fetches. After an outage of the origin the missing
/// chunks delay all hosts, so the hosts that fetch them retry often; only few
/// hosts do.
constexpr Duration kMaxOriginBackoff = 500ms;
/// Time from the declaration of a version until its first origin fetch is due.
/// Hosts learn of the version and obtain its digests within this time.
constexpr Duration kOriginFetchDelay = 150ms;
/// A version that was declared longer ago than this is held by other hosts, so
/// its origin fetches are due at once.
constexpr Duration kNewVersionAge = 1s;
/// Share of this host's link used for transfers; the rest is left to live
/// calls.
constexpr double kLinkShare = 0.8;
/// Most bytes that all hosts together fetch from the origin, in percent of the
/// size of a version. The origin charges by the byte.
constexpr uint32_t kOriginBudgetPercent = 103;
/// Most bytes that all hosts together fetch from the origin, in percent of the
/// size of a version, where hosts fetch each chunk only once. A second copy
/// takes the link from chunks that no host has yet.
constexpr uint32_t kSingleCopyPercent = 100;
constexpr Duration kPeerRequestTimeout = 1s;
/// Time to wait for the response header. It is long because the sending host
/// queues requests and responds only when it is a request's turn. The transfer
/// cancels the fetch sooner if other hosts respond faster.
constexpr Duration kResponseHeaderTimeout = 4s;
constexpr Duration kOriginTimeout = 3s;
/// Limit for the head of the origin's response where its return is announced,
/// except for probes.
constexpr Duration kOriginHeadTimeout = 1s;
constexpr Duration kMembersInterval = 500ms;
/// A transfer that received no chunk for this time, ten times the duration of a
/// chunk, has stalled.
constexpr Duration kStallTimeout = 500ms;
/// Most concurrent origin fetches of all hosts together. With fewer, the
/// origin's link is idle until the next host learns that a fetch has ended.
constexpr uint32_t kMaxOriginFetches = 8;
/// Most concurrent origin fetches of all hosts together, and of one host, where
/// each chunk is fetched only once. A host has to fetch all chunks for which it
/// comes first; if it may not, the chunk waits until the next host takes it
/// over. With fewer fetches at once, chunks are complete, and passed on,
/// sooner.
constexpr uint32_t kMaxSingleCopyFetches = 5;
constexpr uint32_t kMaxOwnSingleCopyFetches = 4;
/// Concurrent fetches from other hosts for the last part of a version, and the
/// divisor that gives the number of chunks in that part.
constexpr uint32_t kMinLastFetches = 7;
constexpr uint32_t kLastPartDivisor = 4;
/// Interval between announcements of an origin fetch in progress.
constexpr Duration kAnnouncementInterval = 250ms;
/// After this many chunks from the origin that do not match their digests, the
/// digests themselves are considered wrong.
constexpr uint32_t kMaxOriginMismatches = 3;

Failure CancelledFailure(const std::string& host) {
  return Failure{FailureCode::kCancelled, "fetch chunk", host, "given up"};
}

decide::TransferLimits LimitsOf(const TargetState& state) {
  decide::TransferLinks links;
  links.m_chunk_bytes = state.m_engine->m_chunk_bytes;
  links.m_host = static_cast<uint64_t>(
      static_cast<double>(state.m_options.m_link_rate) * kLinkShare);
  links.m_origin = state.m_origin_rate;
  decide::TransferLimits limits = decide::LimitsFor(
      links, decide::TransferPreference::kTimeFirst,
      PreparesForOutages(state) ? kSingleCopyPercent : kOriginBudgetPercent);
  limits.m_shared_probes = PreparesForOutages(state);
  limits.m_max_fetches = kMaxFetches;
  const double chunk_seconds = static_cast<double>(links.m_chunk_bytes) /
                               static_cast<double>(links.m_host);
  limits.m_slow_fetch_threshold =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          chunk_seconds * kMaxFetches * kSlowLinkFactor));
  limits.m_takeover_delay = kOriginTakeoverDelay;
  limits.m_max_origin_fetches = kMaxOriginFetches;
  if (PreparesForOutages(state)) {
    limits.m_max_origin_fetches = kMaxSingleCopyFetches;
    limits.m_max_own_origin_fetches = kMaxOwnSingleCopyFetches;
    limits.m_min_last_fetches = kMinLastFetches;
    limits.m_last_chunks = state.m_engine->m_chunks / kLastPartDivisor;
  }
  limits.m_max_origin_backoff = kMaxOriginBackoff;
  return limits;
}

std::string SourceName(const std::string& host) {
  return host.empty() ? "origin" : host;
}

std::string ReasonText(decide::GiveUpReason reason) {
  return reason == decide::GiveUpReason::kTooLate
             ? "a newer version becomes binding before this one could be loaded"
             : "fetching it would leave replicas without usable weights for "
               "longer, "
               "or cost one more load";
}

/// When the first origin fetch of `version` is due.
TimePoint FirstOriginFetchTime(const TargetState& state,
                               uint64_t version,
                               TimePoint now) {
  const auto declared = state.m_declared.find(version);
  if (declared == state.m_declared.end() ||
      declared->second + kNewVersionAge < now)
    return now;
  return declared->second + kOriginFetchDelay;
}

}  // namespace

struct ChunkFetcher::Transfer {
  explicit Transfer(const asio::any_io_executor& executor) : m_wake(executor) {}

  /// Cancels a fetch. Closing the connection makes the sending host stop, so
  /// that its link is free for other hosts.
  static void Cancel(PendingFetch& arrival) {
    arrival.m_cancelled = true;
    if (arrival.m_reader)
      arrival.m_reader->Cancel();
  }
  void CancelAll() {
    for (auto& [chunk, arrival] : m_fetches)
      Cancel(*arrival);
  }

  uint64_t m_version = 0;
  decide::TransferState m_core;
  asio::steady_timer m_wake;
  TimePoint m_next_members{};
  TimePoint m_next_announcement{};
  std::map<uint32_t, std::shared_ptr<PendingFetch>> m_fetches;
  std::vector<std::string> m_followed_hosts;
  uint32_t m_origin_mismatches = 0;
  /// Chunks added to the cache, by source.
  uint64_t m_from_origin = 0;
  uint64_t m_from_local = 0;
  uint64_t m_from_remote = 0;
  bool m_stopped = false;
  TimePoint m_last_chunk_at{};
};

ChunkFetcher::ChunkFetcher(TargetState& state,
                           wire::Client& peers,
                           platform::OriginClient& origin,
                           std::function<void(const links::OriginFetchUpdate&)>
                               announce_origin_fetches)
    : m_state(state),
      m_peers(peers),
      m_origin(origin),
      m_digests(state, peers, origin),
      m_announce_origin_fetches(std::move(announce_origin_fetches)) {}

ChunkFetcher::~ChunkFetcher() = default;

uint64_t ChunkFetcher::version() const {
  return m_transfer ? m_transfer->m_version : 0;
}

bool ChunkFetcher::is_progressing() const {
  return m_transfer && Now() - m_transfer->m_last_chunk_at < kStallTimeout;
}

bool ChunkFetcher::OriginNoLongerNeeded() const {
  return m_transfer && m_transfer->m_core.m_origin_schedule.empty() &&
         m_transfer->m_core.m_origin_fetching == 0;
}

void ChunkFetcher::StopTransfer(std::shared_ptr<Transfer>& transfer) {
  if (!transfer)
    return;
  transfer->m_stopped = true;
  transfer->m_wake.cancel();
  transfer.reset();
}

std::vector<std::string> ChunkFetcher::FollowedHosts() const {
  std::set<std::string> hosts;
  for (const auto& transfer : {m_transfer, m_prefetch}) {
    if (transfer)
      hosts.insert(transfer->m_followed_hosts.begin(),
                   transfer->m_followed_hosts.end());
  }
  return {hosts.begin(), hosts.end()};
}

void ChunkFetcher::HandleChunkUpdate(const links::ChunkUpdate& update) {
  if (!m_state.m_engine || update.m_model != m_state.m_engine->m_model)
    return;
  for (const auto& transfer : {m_transfer, m_prefetch}) {
    if (!transfer || transfer->m_version != update.m_version)
      continue;
    decide::RecordNeighbourChunks(transfer->m_core, update.m_host,
                                  update.m_chunks, Now());
    transfer->m_wake.cancel();
  }
}

void ChunkFetcher::HandleOriginFetches(const links::OriginFetchUpdate& update) {
  if (!m_state.m_engine || update.m_model != m_state.m_engine->m_model)
    return;
  if (PreparesForOutages(m_state))
    AdoptGivenUp(update);
  if (!decide::HasOnlyKnownChunks(update.m_report,
                                  m_state.m_engine->m_chunks)) {
    LogLine("bad_draw_news")
        .With("peer", update.m_report.m_host)
        .With("version", update.m_version)
        .With("reason", "chunk number out of range for the version")
        .Warn();
    return;
  }
  m_supply.RecordOriginFetched(update.m_version,
                               update.m_report.m_origin_fetched, Now());
  HandleOriginStatus(update);
  for (const auto& transfer : {m_transfer, m_prefetch}) {
    if (!transfer || transfer->m_version != update.m_version)
      continue;
    decide::RecordOriginFetches(transfer->m_core, update.m_report, Now());
    AdoptProbe(transfer->m_core.m_probe, update.m_report.m_host, "announced");
    // A fetch has ended, so the next one may start on the origin's link.
    if (!update.m_report.m_origin_fetched.empty() ||
        update.m_report.m_origin == decide::OriginStatus::kAnswers)
      transfer->m_wake.cancel();
  }
}

void ChunkFetcher::HandleOriginStatus(const links::OriginFetchUpdate& update) {
  if (!PreparesForOutages(m_state))
    return;
  const decide::OriginFetchReport& report = update.m_report;
  const bool answers = report.m_origin == decide::OriginStatus::kAnswers ||
                       !report.m_origin_fetched.empty();
  const bool probed = report.m_origin == decide::OriginStatus::kProbed;
  for (const auto& transfer : {m_transfer, m_prefetch}) {
    if (!transfer || transfer->m_version == update.m_version)
      continue;
    if (answers && decide::RecordOriginAnswer(transfer->m_core, Now()))
      transfer->m_wake.cancel();
    if (probed)
      decide::RecordOriginProbe(transfer->m_core.m_probe, report.m_host, Now());
    AdoptProbe(transfer->m_core.m_probe, report.m_host, "announced");
  }
  if (m_transfer || m_prefetch)
    return;
  decide::OriginProbe probe = m_probe;
  if (answers)
    decide::RecordProbeAnswer(probe, Now());
  if (probed)
    decide::RecordOriginProbe(probe, report.m_host, Now());
  AdoptProbe(probe, report.m_host, "announced");
}

void ChunkFetcher::AdoptProbe(const decide::OriginProbe& probe,
                              const std::string& source,
                              const std::string& reason) {
  if (!PreparesForOutages(m_state)) {
    // A new configuration may have ended the preparation during an outage.
    m_probe = {};
    m_state.m_origin_unavailable = false;
    return;
  }
  m_probe = probe;
  if (m_state.m_origin_unavailable && !probe.m_unavailable)
    m_digests.EndRetryPause();
  m_state.m_origin_unavailable = probe.m_unavailable;
  RecordOriginState(!probe.m_unavailable, source, reason);
}

void ChunkFetcher::HandleOriginAnswer(Transfer& transfer) {
  if (!decide::RecordOriginAnswer(transfer.m_core, Now()))
    return;
  AdoptProbe(transfer.m_core.m_probe, "own fetch", "");
  transfer.m_wake.cancel();
  AnnounceOriginFetches(transfer, {}, decide::OriginStatus::kAnswers);
}

void ChunkFetcher::AdoptGivenUp(const links::OriginFetchUpdate& update) {
  for (const uint64_t version : update.m_given_up) {
    // A version is given up only for a newer one, so that one is always left.
    if (version >= update.m_version)
      continue;
    const uint32_t missing = MissingEverywhere(version);
    if (StopFetching(version)) {
      LogLine("version_given_up")
          .With("version", version)
          .With("for", update.m_version)
          .With("missing", uint64_t{missing})
          .With("reason", "given up by " + update.m_report.m_host)
          .Info();
    }
  }
}

bool ChunkFetcher::StopFetching(uint64_t version) {
  if (!m_supply.GiveUp(version))
    return false;
  for (auto* transfer : {&m_transfer, &m_prefetch}) {
    if (!*transfer || (*transfer)->m_version != version)
      continue;
    (*transfer)->CancelAll();
    StopTransfer(*transfer);
  }
  // Its chunks would keep those of the newer version out of the staging area
  // until that one is complete.
  if (!m_state.m_cache.Complete(version))
    m_state.m_cache.Drop(version);
  return true;
}

void ChunkFetcher::GiveUp(const std::vector<decide::GivenUpVersion>& versions) {
  uint64_t replaced_by = 0;
  for (const decide::GivenUpVersion& each : versions) {
    if (!StopFetching(each.m_version))
      continue;
    replaced_by = std::max(replaced_by, each.m_replaced_by);
    LogLine("version_given_up")
        .With("version", each.m_version)
        .With("for", each.m_replaced_by)
        .With("missing", uint64_t{each.m_missing})
        .With("reason", ReasonText(each.m_reason))
        .Info();
  }
  if (replaced_by != 0)
    m_announce_origin_fetches(Announcement(replaced_by));
}

uint32_t ChunkFetcher::MissingEverywhere(uint64_t version) const {
  std::set<uint32_t> present = m_supply.OriginFetched(version);
  for (const uint32_t chunk : m_state.m_cache.Held(version))
    present.insert(chunk);
  for (const auto& transfer : {m_transfer, m_prefetch}) {
    if (!transfer || transfer->m_version != version)
      continue;
    const auto& chunks = transfer->m_core.m_chunks;
    for (uint32_t chunk = 0; chunk < chunks.size(); ++chunk) {
      if (chunks[chunk].m_holders != 0)
        present.insert(chunk);
    }
  }
  const auto total = m_state.m_engine->m_chunks;
  return total - std::min(total, static_cast<uint32_t>(present.size()));
}

Duration ChunkFetcher::OriginInterval() const {
  return m_supply.OriginInterval(LimitsOf(m_state).m_origin_interval);
}

void ChunkFetcher::RecordCorruptChunk(uint64_t version, uint32_t chunk) {
  for (const auto& transfer : {m_transfer, m_prefetch}) {
    if (!transfer || transfer->m_version != version)
      continue;
    decide::RecordChunkLoss(transfer->m_core, chunk, Now());
    transfer->m_wake.cancel();
  }
}

void ChunkFetcher::RecordOriginState(bool answers,
                                     const std::string& source,
                                     const std::string& reason) {
  if (m_origin_reachable == answers)
    return;
  m_origin_reachable = answers;
  LogLine line(answers ? "origin_regained" : "origin_lost");
  line.With("origin", ToString(m_state.m_origin)).With("source", source);
  if (!answers)
    line.With("reason", reason);
  line.Info();
}

links::OriginFetchUpdate ChunkFetcher::Announcement(uint64_t version) const {
  links::OriginFetchUpdate update;
  update.m_model = m_state.m_engine->m_model;
  update.m_version = version;
  update.m_report.m_host = m_state.m_options.m_peers.address();
  const auto& given_up = m_supply.given_up();
  update.m_given_up.assign(given_up.begin(), given_up.lower_bound(version));
  return update;
}

void ChunkFetcher::AnnounceOriginFetches(Transfer& transfer,
                                         std::vector<uint32_t> fetched,
                                         decide::OriginStatus status) {
  links::OriginFetchUpdate update = Announcement(transfer.m_version);
  update.m_report.m_origin = status;
  for (const auto& [chunk, fetch] : transfer.m_core.m_fetching) {
    if (fetch.m_source.IsOrigin())
      update.m_report.m_in_progress.push_back(chunk);
  }
  if (update.m_report.m_in_progress.empty() && fetched.empty())
    return;
  update.m_report.m_origin_fetched = std::move(fetched);
  m_announce_origin_fetches(update);
  transfer.m_next_announcement = Now() + kAnnouncementInterval;
}

std::shared_ptr<ChunkFetcher::Transfer> ChunkFetcher::CreateTransfer(
    uint64_t version,
    const decide::TransferLimits& limits,
    const asio::any_io_executor& executor) {
  auto transfer = std::make_shared<Transfer>(executor);
  transfer->m_version = version;
  transfer->m_core = decide::StartTransfer(
      {m_state.m_options.m_peers.address(), m_state.m_options.m_data_center,
       m_state.m_options.m_data_center},
      m_state.m_engine->m_chunks, limits, Now(),
      FirstOriginFetchTime(m_state, version, Now()));
  if (PreparesForOutages(m_state)) {
    transfer->m_core.m_probe = m_probe;
    for (uint32_t chunk : m_supply.OriginFetched(version))
      transfer->m_core.m_chunks[chunk].m_origin_fetched = true;
  }
  for (uint32_t chunk : m_state.m_cache.Held(version))
    decide::RecordChunkArrival(transfer->m_core, chunk, Now());
  LogLine("transfer_begun")
      .With("version", version)
      .With("ahead", limits.m_max_fetches == kMaxFetchesAhead)
      .Info();
  return transfer;
}

TimePoint ChunkFetcher::NextStepTime(const Transfer& transfer) {
  const TimePoint now = Now();
  const TimePoint tick = now + decide::kTransferTick;
  const decide::TransferState& core = transfer.m_core;
  if (!core.m_probe.m_unavailable)
    return tick;
  const TimePoint probe =
      decide::NextProbeTime(core.m_probe, core.m_members, core.m_self.m_name);
  return probe > now ? std::min(tick, probe) : tick;
}

Awaitable<void> ChunkFetcher::Run(std::shared_ptr<Transfer> transfer,
                                  asio::any_io_executor executor) {
  const TimePoint begun = Now();
  while (!transfer->m_stopped && !decide::IsComplete(transfer->m_core) &&
         transfer->m_origin_mismatches < kMaxOriginMismatches) {
    UpdateMembers(*transfer);
    DoStep(transfer, executor);
    transfer->m_wake.expires_at(NextStepTime(*transfer));
    boost::system::error_code ignored;
    co_await transfer->m_wake.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  transfer->CancelAll();
  if (transfer->m_origin_mismatches >= kMaxOriginMismatches) {
    LogLine("digests_doubted").With("version", transfer->m_version).Warn();
    m_state.m_cache.Drop(transfer->m_version);
  }
  LogLine("transfer_ended")
      .With("version", transfer->m_version)
      .With("whole", m_state.m_cache.Complete(transfer->m_version))
      .With("from_origin", transfer->m_from_origin)
      .With("from_near", transfer->m_from_local)
      .With("from_far", transfer->m_from_remote)
      .With("ms", ToMilliseconds(Now() - begun))
      .Info();
}

Awaitable<void> ChunkFetcher::Fetch(uint64_t version) {
  const auto executor = co_await asio::this_coro::executor;
  if (IsGivenUp(version))
    co_return;
  StopTransfer(m_transfer);
  if (m_prefetch && m_prefetch->m_version == version) {
    // Continuing the transfer keeps its origin fetches and what is known of the
    // origin fetches of other hosts.
    m_transfer = std::move(m_prefetch);
    m_prefetch.reset();
    decide::SetLimits(m_transfer->m_core, LimitsOf(m_state));
    m_transfer->m_wake.cancel();
    co_return;
  }
  StopTransfer(m_prefetch);
  const auto transfer = CreateTransfer(version, LimitsOf(m_state), executor);
  m_transfer = transfer;
  co_await Run(transfer, executor);
  End(transfer);
}

void ChunkFetcher::End(const std::shared_ptr<Transfer>& transfer) {
  if (m_prefetch == transfer)
    m_prefetch.reset();
  if (m_transfer == transfer)
    m_transfer.reset();
}

Awaitable<void> ChunkFetcher::Prefetch(uint64_t version) {
  if (m_prefetch_version == version)
    co_return;
  m_prefetch_version = version;
  const auto executor = co_await asio::this_coro::executor;
  const uint64_t previous = this->version();
  const bool has_digests = co_await m_digests.Obtain(version);
  const auto is_current = [&] {
    return m_prefetch_version == version && this->version() == previous;
  };
  while (has_digests && is_current() && !OriginNoLongerNeeded())
    co_await Sleep(decide::kTransferTick);
  if (has_digests && is_current() && !m_prefetch && !IsGivenUp(version)) {
    decide::TransferLimits limits = LimitsOf(m_state);
    limits.m_max_fetches = kMaxFetchesAhead;
    limits.m_min_last_fetches = 0;
    const auto transfer = CreateTransfer(version, limits, executor);
    m_prefetch = transfer;
    co_await Run(transfer, executor);
    End(transfer);
  }
  if (m_prefetch_version == version)
    m_prefetch_version = 0;
}

bool ChunkFetcher::IsInSameDataCenter(const std::string& host) const {
  for (const auto& [id, replica] : m_state.m_replicas) {
    if (replica.m_endpoint.address() == host)
      return replica.m_data_center == m_state.m_options.m_data_center;
  }
  return false;
}

void ChunkFetcher::UpdateMembers(Transfer& transfer) {
  if (Now() < transfer.m_next_members)
    return;
  transfer.m_next_members = Now() + kMembersInterval;
  std::vector<decide::TransferMember> members = OtherMembers(m_state);
  const TargetOptions& options = m_state.m_options;
  members.push_back({options.m_peers.address(), options.m_data_center,
                     options.m_data_center});
  std::sort(members.begin(), members.end());
  members.erase(std::unique(members.begin(), members.end()), members.end());
  decide::SetMembers(transfer.m_core, std::move(members), Now(),
                     m_state.m_random);
}

void ChunkFetcher::DoStep(const std::shared_ptr<Transfer>& transfer,
                          const asio::any_io_executor& executor) {
  const decide::TransferActions actions =
      decide::Step(transfer->m_core, Now(), m_state.m_random);
  for (const decide::FetchChunk& cancel : actions.m_cancels) {
    LogLine("chunk_given_up")
        .With("chunk", uint64_t{cancel.m_chunk})
        .With("source", cancel.m_source.m_host)
        .Info();
    Transfer::Cancel(*transfer->m_fetches[cancel.m_chunk]);
  }
  for (const std::string& name : actions.m_unfollows)
    std::erase(transfer->m_followed_hosts, name);
  for (const std::string& name : actions.m_follows)
    transfer->m_followed_hosts.push_back(name);
  bool starts_origin_fetch = false;
  for (const decide::FetchChunk& fetch : actions.m_fetches) {
    starts_origin_fetch |= fetch.m_source.IsOrigin();
    auto arrival = std::make_shared<PendingFetch>();
    transfer->m_fetches[fetch.m_chunk] = arrival;
    Spawn(executor,
          FetchChunk(transfer, fetch.m_chunk, fetch.m_source.m_host, arrival),
          "fetch_chunk");
  }
  // While the origin is unavailable, only the start of a probe is announced:
  // the turns of the other hosts count from it.
  const bool away = transfer->m_core.m_probe.m_unavailable;
  if (starts_origin_fetch || (!away && Now() >= transfer->m_next_announcement))
    AnnounceOriginFetches(*transfer, {},
                          away ? decide::OriginStatus::kProbed
                               : decide::OriginStatus::kNotStated);
}

Awaitable<AsyncResult<std::string>> ChunkFetcher::ReadFromHost(
    std::shared_ptr<Transfer> transfer,
    uint32_t chunk,
    std::string host,
    std::shared_ptr<PendingFetch> arrival) {
  wire::Request request;
  wire::RequestTarget target(
      ChunkPath(m_state.m_engine->m_model, transfer->m_version, chunk));
  target.Field(kHeldField, transfer->m_core.m_have_count);
  if (!IsInSameDataCenter(host))
    target.Field(kRemoteField, 1);
  request.m_path = target.Build();
  const Endpoint endpoint(host, m_state.m_options.m_peers.port());
  auto opened = co_await m_peers.Open(endpoint, std::move(request),
                                      Now() + kPeerRequestTimeout);
  if (!opened)
    co_return opened.error();
  wire::ResponseReader& reader = **opened;
  if (arrival->m_cancelled)
    co_return CancelledFailure(host);
  arrival->m_reader = &reader;
  const ReadDeadlines deadlines = {Now() + kResponseHeaderTimeout,
                                   kPeerRequestTimeout, TimePoint::max()};
  auto bytes = co_await ReadChunkFrom(transfer, chunk, host, reader, deadlines);
  arrival->m_reader = nullptr;
  co_return bytes;
}

Awaitable<AsyncResult<std::string>> ChunkFetcher::ReadFromOrigin(
    std::shared_ptr<Transfer> transfer,
    uint32_t chunk,
    std::shared_ptr<PendingFetch> arrival) {
  const bool announces_return = PreparesForOutages(m_state);
  ReadDeadlines deadlines;
  deadlines.m_end = Now() + kOriginTimeout;
  deadlines.m_head = deadlines.m_end;
  deadlines.m_piece = kOriginTimeout;
  if (announces_return) {
    deadlines.m_head = Now() + (m_state.m_origin_unavailable
                                    ? decide::ProbeTimeout(m_probe, Now())
                                    : kOriginHeadTimeout);
  }
  auto opened =
      co_await m_origin.OpenChunk(m_state.m_origin, m_state.m_engine->m_model,
                                  transfer->m_version, chunk, deadlines.m_head);
  if (!opened)
    co_return opened.error();
  wire::ResponseReader& reader = **opened;
  if (arrival->m_cancelled && announces_return)
    co_return CancelledFailure("origin");
  // Without a version choice, a chunk from the origin is kept even if its
  // transfer has ended.
  if (announces_return)
    arrival->m_reader = &reader;
  auto bytes = co_await ReadChunkFrom(transfer, chunk, "", reader, deadlines);
  arrival->m_reader = nullptr;
  co_return bytes;
}

Awaitable<AsyncResult<std::string>> ChunkFetcher::ReadChunkFrom(
    std::shared_ptr<Transfer> transfer,
    uint32_t chunk,
    std::string host,
    wire::ResponseReader& reader,
    ReadDeadlines deadlines) {
  const auto head = co_await reader.ReadHead(deadlines.m_head);
  if (!head)
    co_return head.error();
  if (head->m_status != 200) {
    co_return Failure{FailureCode::kRefused, "fetch chunk", SourceName(host),
                      "status " + std::to_string(head->m_status)};
  }
  if (host.empty()) {
    decide::RecordChunkProgress(transfer->m_core, chunk, Now());
    HandleOriginAnswer(*transfer);
  }
  std::string bytes;
  while (true) {
    auto piece = co_await reader.ReadBody(
        std::min<TimePoint>(deadlines.m_end, Now() + deadlines.m_piece));
    if (!piece)
      co_return piece.error();
    if (!piece->has_value())
      co_return bytes;
    bytes += **piece;
    if (bytes.size() > m_state.m_engine->m_chunk_bytes) {
      co_return Failure{FailureCode::kCorrupt, "fetch chunk", SourceName(host),
                        "longer than declared"};
    }
    decide::RecordChunkProgress(transfer->m_core, chunk, Now());
  }
}

Awaitable<void> ChunkFetcher::FetchChunk(
    std::shared_ptr<Transfer> transfer,
    uint32_t chunk,
    std::string host,
    std::shared_ptr<PendingFetch> arrival) {
  const bool from_origin = host.empty();
  AsyncResult<std::string> bytes = std::string();
  if (from_origin) {
    bytes = co_await ReadFromOrigin(transfer, chunk, arrival);
  } else {
    bytes = co_await ReadFromHost(transfer, chunk, host, arrival);
  }
  if (bytes) {
    m_state.m_metrics.Count(
        "chunk_bytes_total",
        from_origin ? "source=\"origin\"" : "source=\"host\"",
        static_cast<double>(bytes->size()));
  }
  transfer->m_wake.cancel();
  const bool kept =
      bytes.has_value() &&
      m_state.m_cache.Put(transfer->m_version, chunk, std::move(*bytes));
  if (arrival->m_cancelled) {
    // Another transfer of this version may have started since.
    if (kept && m_transfer && m_transfer->m_version == transfer->m_version)
      decide::RecordChunkArrival(m_transfer->m_core, chunk, Now());
    co_return;
  }
  if (kept) {
    if (from_origin) {
      RecordOriginState(true, "own fetch", "");
      ++transfer->m_from_origin;
      m_supply.RecordOriginFetched(transfer->m_version, {chunk}, Now());
      m_state.m_metrics.Count(
          "chunks_drawn_total",
          "version=\"" + std::to_string(transfer->m_version) + "\"");
      LogLine("chunk_drawn")
          .With("chunk", uint64_t{chunk})
          .With("version", transfer->m_version)
          .Info();
    } else if (IsInSameDataCenter(host)) {
      ++transfer->m_from_local;
    } else {
      ++transfer->m_from_remote;
    }
    transfer->m_last_chunk_at = Now();
    decide::RecordChunkArrival(transfer->m_core, chunk, Now());
    if (from_origin)
      AnnounceOriginFetches(*transfer, std::vector<uint32_t>(1, chunk));
    co_return;
  }
  const bool corrupt =
      bytes.has_value() || bytes.error().m_code == FailureCode::kCorrupt;
  if (corrupt && from_origin)
    ++transfer->m_origin_mismatches;
  if (from_origin && !corrupt && !PreparesForOutages(m_state))
    RecordOriginState(false, "own fetch", ToString(bytes.error()));
  LogLine("chunk_failed")
      .With("chunk", uint64_t{chunk})
      .With("version", transfer->m_version)
      .With("source", SourceName(host))
      .With("reason",
            corrupt ? "the bytes do not have the declared digest or length"
                    : ToString(bytes.error()))
      .Info();
  decide::RecordChunkFailure(transfer->m_core, chunk, corrupt, Now(),
                             m_state.m_random);
  if (from_origin && !corrupt)
    AdoptProbe(transfer->m_core.m_probe, "own fetch", ToString(bytes.error()));
}

}  // namespace verbenalead::target
