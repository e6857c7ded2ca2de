#include "daemon/config_follower.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <memory>
#include <random>

#include "base/log.h"
#include "base/sleep.h"
#include "base/spawn.h"
#include "daemon/config_messages.h"
#include "decide/config/config_tree.h"

namespace verbenalead::daemon {
namespace {

namespace asio = boost::asio;

/// A process receives changes over two streams; the entry that sends it a
/// stream is its parent there. This is how long a parent delays its answer
/// while nothing changes (long polling). It bounds the idle traffic of each
/// stream to a few hundred bytes in five seconds.
constexpr Duration kHold = 5s;
constexpr Duration kFetchTimeout = 1s;
/// A process accepts no new work if neither the table nor a peer has answered
/// for this long, since its configuration may have been replaced long ago. It
/// is longer than kHold and kFetchTimeout together, so that a single lost
/// answer while nothing changes does not make a process refuse work.
constexpr Duration kIsolationTimeout = 12s;
/// An entry reads the table itself if no parent has answered for this long
/// after kHold.
constexpr Duration kParentTimeout = 3s;
constexpr Duration kRetryInterval = 100ms;
constexpr Duration kMaxBackoff = 5s;
constexpr Duration kCatchUpInterval = 100ms;
/// Number of peers that must answer before a process starts without the table.
/// An accepted change is held by the entry that committed it and by two others;
/// so while one of the three entries that read the table is down, at least one
/// of any two answers contains the change.
constexpr size_t kPeersRequired = 2;
constexpr size_t kMaxPeersContacted = 5;
/// Replicate() returns once this many entries besides the committing one hold
/// the change.
constexpr size_t kHoldersRequired = 2;
constexpr Duration kReplicateTimeout = 2s;
constexpr Duration kReplicatePollInterval = 5ms;

/// Returns `pause` with a jitter of up to half its length in both directions,
/// so that processes which lost contact at the same time don't retry at the
/// same time.
Duration Jittered(Duration pause) {
  static thread_local std::minstd_rand random{std::random_device{}()};
  std::uniform_real_distribution<double> factor(0.5, 1.5);
  return std::chrono::duration_cast<Duration>(pause * factor(random));
}

/// Progress of the pushes of one change. All pushes run on one thread.
struct PushProgress {
  size_t m_open = 0;
  size_t m_permit_confirmed = 0;
};

Awaitable<void> PushTo(std::shared_ptr<PushProgress> progress,
                       const ConfigStore& config,
                       wire::Client& peers,
                       Endpoint endpoint,
                       uint64_t revision) {
  auto pushed = co_await PushConfig(config, peers, std::move(endpoint),
                                    revision, Now() + kReplicateTimeout);
  if (pushed)
    ++progress->m_permit_confirmed;
  else
    LogLine("config_push_failed").With(pushed.error()).Debug();
  --progress->m_open;
}

}  // namespace

std::vector<std::string> ConfigFollower::RankedEntries() const {
  std::vector<std::string> names;
  for (const model::Host& host : m_hosts.Hosts(model::HostRole::kEntry))
    names.push_back(host.name());
  return decide::RankEntries(std::move(names));
}

Endpoint ConfigFollower::AddressOf(const std::string& entry) const {
  const auto host = m_hosts.Find(entry);
  return host ? host->peer() : Endpoint();
}

size_t ConfigFollower::OtherEntries() const {
  const auto ranked = RankedEntries();
  return ranked.size() -
         static_cast<size_t>(std::count(ranked.begin(), ranked.end(), m_self));
}

void ConfigFollower::RecordContact(uint64_t revision) {
  m_config.RecordObservedRevision(revision);
  m_last_seen_at = Now().time_since_epoch().count();
}

bool ConfigFollower::ready() const {
  const TimePoint last_contact{TimePoint::duration(m_last_seen_at.load())};
  if (!m_initialised)
    return false;
  // Called for each request, so the host list, which needs a lock and a copy,
  // is read only if the outcome depends on it.
  if (Now() - last_contact < kIsolationTimeout)
    return true;
  // If the list shows no other entry, no other process can commit a change, so
  // an outage of the table alone is no reason to refuse work.
  return m_role == model::HostRole::kEntry && OtherEntries() == 0;
}

Awaitable<size_t> ConfigFollower::FetchInitialConfig() {
  // Collects the answers separately first: the configuration of a single peer
  // may be old, and a restarted process must not apply an older revision than
  // before its restart.
  ConfigStore learned(nullptr);
  size_t answers = 0;
  size_t contacted = 0;
  for (const std::string& entry : RankedEntries()) {
    if (entry == m_self || contacted == kMaxPeersContacted)
      continue;
    ++contacted;
    auto fetched = co_await FetchConfig(learned, m_peers, AddressOf(entry),
                                        Duration::zero(), kFetchTimeout);
    if (!fetched)
      continue;
    // An answer of a peer that has just read the table is sufficient alone, so
    // a failed entry that is still in the host list doesn't prevent a start.
    answers += *fetched ? kPeersRequired : 1;
    if (answers >= kPeersRequired)
      break;
  }
  const size_t required =
      m_role == model::HostRole::kEntry
          ? kPeersRequired
          : std::min(kPeersRequired, std::max<size_t>(contacted, 1));
  if (answers >= required)
    m_config.ApplyState(*learned.current());
  co_return answers >= required ? answers : 0;
}

Awaitable<bool> ConfigFollower::Initialise() {
  if (m_role == model::HostRole::kEntry) {
    auto read = co_await m_config.CatchUp();
    if (read)
      co_return true;
    LogLine("table_unavailable").With(read.error()).Warn();
  }
  co_return co_await FetchInitialConfig() > 0;
}

Awaitable<void> ConfigFollower::Run() {
  while (!co_await Initialise())
    co_await Sleep(Jittered(kRetryInterval * 3));
  RecordContact(0);
  m_initialised = true;
  LogLine("config_learned")
      .With("revision", m_config.current()->m_revision)
      .Info();
  const auto executor = co_await asio::this_coro::executor;
  for (size_t slot = 0; slot < decide::kConfigStreams; ++slot)
    SpawnLoop(executor, FollowParent(slot), "listen");
  if (m_role == model::HostRole::kEntry)
    SpawnLoop(executor, PollTable(), "read_table");
  co_await CatchUpWhenBehind();
}

Awaitable<void> ConfigFollower::FollowParent(size_t slot) {
  uint64_t failures = 0;
  while (true) {
    const auto ranked = RankedEntries();
    const std::string parent =
        m_role == model::HostRole::kEntry
            ? decide::ParentOfEntry(ranked, m_self, slot, failures)
            : decide::ParentOfTarget(ranked, m_self, slot, failures);
    if (parent.empty()) {
      co_await Sleep(kRetryInterval);
      continue;
    }
    auto fetched = co_await FetchConfig(m_config, m_peers, AddressOf(parent),
                                        kHold, kFetchTimeout);
    if (fetched) {
      m_last_parent_answer_at = Now().time_since_epoch().count();
      RecordContact(0);
      continue;
    }
    ++failures;
    LogLine("config_parent_lost")
        .With("parent", parent)
        .With(fetched.error())
        .Info();
    co_await Sleep(Jittered(kRetryInterval));
  }
}

Awaitable<void> ConfigFollower::PollTable() {
  Duration pause = m_poll;
  while (true) {
    co_await Sleep(pause);
    const auto ranked = RankedEntries();
    const TimePoint fetched_at{
        TimePoint::duration(m_last_parent_answer_at.load())};
    const bool without_parent = Now() - fetched_at > kHold + kParentTimeout;
    const bool reader = decide::IsTableReader(ranked, m_self);
    pause =
        reader ? m_poll : Jittered(decide::OrphanReadInterval(ranked.size()));
    if (!reader && !without_parent)
      continue;
    auto read = co_await m_config.CatchUp();
    if (read && reader)
      read = co_await m_config.WriteSnapshot();
    if (read) {
      RecordContact(0);
      continue;
    }
    LogLine("table_unavailable").With(read.error()).Warn();
    // All readers lose the table at the same time; the jitter keeps them from
    // retrying at the same time.
    pause = Jittered(std::min(pause * 4, kMaxBackoff));
  }
}

Awaitable<void> ConfigFollower::CatchUpWhenBehind() {
  for (uint64_t attempt = 0;; co_await Sleep(kCatchUpInterval)) {
    if (m_config.observed_revision() <= m_config.current()->m_revision)
      continue;
    const auto ranked = RankedEntries();
    if (ranked.empty())
      continue;
    const std::string entry =
        decide::ParentOfTarget(ranked, m_self, 0, attempt++);
    if (entry == m_self)
      continue;
    auto ignored = co_await FetchConfig(m_config, m_peers, AddressOf(entry),
                                        kCatchUpInterval, kFetchTimeout);
    (void)ignored;
  }
}

Awaitable<size_t> ConfigFollower::Replicate(uint64_t revision) {
  const auto executor = co_await asio::this_coro::executor;
  auto progress = std::make_shared<PushProgress>();
  size_t contacted = 0;
  // The table readers rank first, since the configuration tree spreads the
  // changes that they hold to all processes.
  for (const std::string& entry : RankedEntries()) {
    if (entry == m_self || contacted == kMaxPeersContacted)
      continue;
    ++contacted;
    ++progress->m_open;
    Spawn(executor,
          PushTo(progress, m_config, m_peers, AddressOf(entry), revision),
          "push_to");
  }
  const TimePoint deadline = Now() + kReplicateTimeout;
  while (progress->m_open > 0 &&
         progress->m_permit_confirmed < kHoldersRequired && Now() < deadline)
    co_await Sleep(kReplicatePollInterval);
  co_return progress->m_permit_confirmed;
}

}  // namespace verbenalead::daemon
