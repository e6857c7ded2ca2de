#ifndef VERBENALEAD_DECIDE_TRANSFER_FAKE_OUTAGE_FLEET_H_
#define VERBENALEAD_DECIDE_TRANSFER_FAKE_OUTAGE_FLEET_H_

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "decide/transfer/origin_fetches.h"
#include "decide/transfer/transfer.h"
#include "decide/transfer/upload_slots.h"

namespace verbenalead::decide {

constexpr Duration kTick = 10ms;
/// Time to send a chunk over the origin's link, and over the share of a host's
/// link that transfers may use.
constexpr Duration kOriginChunk = 44ms;
constexpr Duration kHostChunk = 43ms;
/// Delays until updates about chunks and announcements of origin fetches reach
/// other hosts.
constexpr Duration kUpdateDelay = 60ms;
constexpr Duration kAnnounceDelay = 10ms;
constexpr Duration kAnnounceInterval = 250ms;
constexpr Duration kTimeLimit = 60s;
/// Time from a request to the first bytes of the origin's answer.
constexpr Duration kRequestDelay = 10ms;
/// Limit for the answer of an unavailable origin.
constexpr Duration kHangTimeout = 300ms;
constexpr uint32_t kMaxOriginFetches = 5;
constexpr uint32_t kMaxOwnOriginFetches = 4;
constexpr uint32_t kMinLastFetches = 7;
/// Dead hosts stay in the list of members for this long.
constexpr Duration kMembershipLag = 3s;

struct OutageScenario {
  uint32_t m_hosts = 58;
  /// When the origin becomes unreachable, and for how long.
  Duration m_outage_start = 2500ms;
  Duration m_outage = 6s;
  /// Number of hosts that die while the origin is unreachable.
  uint32_t m_host_failures = 0;
  /// Whether hosts announce their origin fetches.
  bool m_announced = true;
  uint32_t m_chunks = 64;
  Duration m_origin_chunk = kOriginChunk;
  Duration m_host_chunk = kHostChunk;
  /// Whether hosts probe the origin in turns and announce its return.
  bool m_shared_probes = false;
  /// Whether connections to the unavailable origin hang until they time out;
  /// otherwise they are refused at once.
  bool m_hangs = false;
  /// Whether the first host that fetches a chunk after the origin's return dies
  /// with the only copy.
  bool m_only_copy_lost = false;
  /// Factor on the time of a chunk between regions, from the origin's return
  /// on.
  int64_t m_narrowing = 1;
};

/// Simulates in virtual time the transfer of one version from an origin that
/// becomes unreachable before one copy has been fetched. Origin fetches share
/// the origin's link, and chunks queue at the hosts that send them.
class OutageFleet {
 public:
  OutageFleet(const OutageScenario& load, uint64_t seed)
      : m_load(load), m_random(seed) {
    std::vector<TransferMember> members;
    for (uint32_t i = 0; i < load.m_hosts; ++i) {
      const std::string region(1, static_cast<char>('a' + i % 3));
      members.push_back({"host-" + std::to_string(i), region, region});
    }
    m_hosts.resize(load.m_hosts);
    for (uint32_t i = 0; i < load.m_hosts; ++i) {
      m_hosts[i].m_started_at = m_now + 10ms * (m_random() % 30);
      m_hosts[i].m_state =
          StartTransfer(members[i], load.m_chunks, Limits(),
                        m_hosts[i].m_started_at, m_now + 300ms);
      SetMembers(m_hosts[i].m_state, members, m_hosts[i].m_started_at,
                 m_random);
    }
  }

  /// Runs until all live hosts are complete; false if they are not within the
  /// time limit.
  bool Run() {
    for (; !AllComplete(); m_now += kTick) {
      if (Elapsed() > kTimeLimit)
        return false;
      RecordCompleteHosts();
      MaybeFailHost();
      RunOrigin();
      RunUploads();
      SendUpdates();
      for (size_t host = 0; host < m_hosts.size(); ++host)
        StepHost(host);
    }
    return true;
  }

  /// Completed origin fetches per chunk.
  double FetchesPerChunk() const {
    return static_cast<double>(m_draws) / m_load.m_chunks;
  }
  /// Chunks that were fetched from the origin more than once.
  uint32_t RepeatedFetches() const {
    return m_draws - static_cast<uint32_t>(m_drawn.size());
  }
  /// Chunks that no host had when the origin became unavailable.
  uint32_t MissingAtOutage() const { return m_missing_at_outage; }
  /// Time from the origin's return to its last chunk, as a multiple of the time
  /// that its link needs for the missing chunks.
  double LinkTimeFactor() const {
    const Duration needed = m_missing_at_outage * m_load.m_origin_chunk;
    return static_cast<double>(SinceReturn(m_last_draw).count()) /
           static_cast<double>(needed.count());
  }
  /// Time from the last chunk at its first host until half of the hosts, and
  /// all, were complete.
  Duration HalfDelay() const { return m_half_complete_at - m_last_draw; }
  Duration TailDelay() const { return m_now - m_last_draw; }
  /// Time from the origin's return until all live hosts were complete.
  Duration CompletionDelay() const {
    return Elapsed() - m_load.m_outage_start - m_load.m_outage;
  }

 private:
  struct Upload {
    size_t m_to = 0;
    uint32_t m_chunk = 0;
    Duration m_left{};
  };
  struct Host {
    TransferState m_state;
    TimePoint m_started_at{};
    TimePoint m_announced{};
    bool m_dead = false;
    std::vector<uint32_t> m_held;
    size_t m_told = 0;
    UploadSlots m_slots;
    /// Waiting and running uploads by their id.
    std::map<uint64_t, Upload> m_uploads;
    uint64_t m_last_upload = 0;
  };
  struct OriginFetch {
    size_t m_host = 0;
    uint32_t m_chunk = 0;
    Duration m_left{};
    TimePoint m_started_at{};
  };
  struct Update {
    TimePoint m_at{};
    /// Empty: an announcement of origin fetches, sent to all hosts.
    std::string m_from;
    size_t m_to = 0;
    std::vector<uint32_t> m_chunks;
    OriginFetchReport m_report;
  };

  TransferLimits Limits() const {
    TransferLimits limits;
    limits.m_origin_interval = m_load.m_origin_chunk;
    if (m_load.m_announced)
      limits.m_max_origin_fetches = 4;
    limits.m_takeover_delay = 1s;
    limits.m_max_fetches = 5;
    limits.m_max_origin_backoff = 500ms;
    if (m_load.m_shared_probes) {
      limits.m_shared_probes = true;
      limits.m_origin_budget_percent = 100;
      limits.m_max_origin_fetches = kMaxOriginFetches;
      limits.m_max_own_origin_fetches = kMaxOwnOriginFetches;
      limits.m_min_last_fetches = kMinLastFetches;
      limits.m_last_chunks = m_load.m_chunks / 4;
      limits.m_slow_fetch_threshold =
          2 * limits.m_max_fetches * m_load.m_host_chunk;
    }
    return limits;
  }

  Duration Elapsed() const { return m_now - TimePoint(); }
  Duration SinceReturn(TimePoint at) const {
    return at - TimePoint() - m_load.m_outage_start - m_load.m_outage;
  }
  bool IsOriginDown() const {
    return Elapsed() >= m_load.m_outage_start &&
           Elapsed() < m_load.m_outage_start + m_load.m_outage;
  }
  bool AllComplete() const {
    return std::all_of(m_hosts.begin(), m_hosts.end(), [](const Host& host) {
      return host.m_dead || IsComplete(host.m_state);
    });
  }
  size_t Index(const std::string& name) const {
    return std::stoul(name.substr(name.find('-') + 1));
  }

  void MaybeFailHost() {
    if (!IsOriginDown() || m_failed_hosts >= m_load.m_host_failures ||
        m_random() % 40 != 0)
      return;
    Host& victim = m_hosts[m_random() % m_hosts.size()];
    if (victim.m_dead)
      return;
    ++m_failed_hosts;
    FailHost(static_cast<size_t>(&victim - m_hosts.data()));
  }

  void FailHost(size_t index) {
    m_hosts[index].m_dead = true;
    m_listed_until[m_hosts[index].m_state.m_self.m_name] =
        m_now + kMembershipLag;
  }

  void RecordCompleteHosts() {
    if (Elapsed() == m_load.m_outage_start)
      m_missing_at_outage =
          m_load.m_chunks - static_cast<uint32_t>(m_drawn.size());
    const auto complete = std::count_if(
        m_hosts.begin(), m_hosts.end(),
        [](const Host& host) { return IsComplete(host.m_state); });
    if (m_half_complete_at == TimePoint() &&
        complete * 2 >= std::ssize(m_hosts))
      m_half_complete_at = m_now;
  }

  void FailOpenFetches() {
    std::erase_if(m_open_fetches, [&](const OriginFetch& fetch) {
      if (m_load.m_hangs && m_now - fetch.m_started_at < kHangTimeout)
        return false;
      RecordChunkFailure(m_hosts[fetch.m_host].m_state, fetch.m_chunk, false,
                         m_now, m_random);
      return true;
    });
  }

  /// The first bytes of a fetch arrive.
  void Answer(const OriginFetch& fetch) {
    TransferState& state = m_hosts[fetch.m_host].m_state;
    RecordChunkProgress(state, fetch.m_chunk, m_now);
    if (RecordOriginAnswer(state, m_now))
      Announce(fetch.m_host, {}, OriginStatus::kAnswers);
  }

  void RunOrigin() {
    if (IsOriginDown()) {
      FailOpenFetches();
      return;
    }
    // Connections that hang stay so after the return.
    const TimePoint returned =
        TimePoint() + m_load.m_outage_start + m_load.m_outage;
    const auto hangs = [&](const OriginFetch& fetch) {
      return m_now >= returned && fetch.m_started_at < returned;
    };
    std::erase_if(m_open_fetches, [&](const OriginFetch& fetch) {
      const bool fails =
          hangs(fetch) && m_now - fetch.m_started_at >= kHangTimeout;
      if (fails)
        RecordChunkFailure(m_hosts[fetch.m_host].m_state, fetch.m_chunk, false,
                           m_now, m_random);
      return fails;
    });
    const auto open =
        std::count_if(m_open_fetches.begin(), m_open_fetches.end(),
                      [&](const OriginFetch& fetch) { return !hangs(fetch); });
    const auto share = kTick / std::max<int64_t>(1, open);
    Duration unused{};
    std::vector<OriginFetch> done;
    std::erase_if(m_open_fetches, [&](OriginFetch& fetch) {
      if (hangs(fetch) || m_now - fetch.m_started_at < kRequestDelay)
        return false;
      if (fetch.m_left == m_load.m_origin_chunk)
        Answer(fetch);
      // What a fetch leaves of its share goes to the next one.
      fetch.m_left -= share + unused;
      unused = std::max(Duration(), -fetch.m_left);
      if (fetch.m_left > Duration())
        return false;
      done.push_back(fetch);
      return true;
    });
    for (const OriginFetch& fetch : done) {
      ++m_draws;
      if (m_drawn.insert(fetch.m_chunk).second)
        m_last_draw = m_now;
      if (m_load.m_only_copy_lost && !m_copy_lost && m_now > returned) {
        m_copy_lost = true;
        FailHost(fetch.m_host);
        m_drawn.erase(fetch.m_chunk);
        --m_draws;
      }
      Arrive(fetch.m_host, fetch.m_chunk);
      if (!m_hosts[fetch.m_host].m_dead)
        Announce(fetch.m_host, {fetch.m_chunk});
    }
  }

  void Arrive(size_t index, uint32_t chunk) {
    Host& host = m_hosts[index];
    if (host.m_dead || host.m_state.m_chunks[chunk].m_stored)
      return;
    RecordChunkArrival(host.m_state, chunk, m_now);
    host.m_held.push_back(chunk);
  }

  void RunUploads() {
    for (Host& host : m_hosts) {
      if (host.m_dead)
        continue;
      while (StartNextUpload(host.m_slots, m_now)) {
      }
      std::vector<uint64_t> done;
      for (const auto& [id, started] : host.m_slots.m_running) {
        Upload& upload = host.m_uploads.at(id);
        upload.m_left -= LinkShare(host, upload);
        if (upload.m_left <= Duration())
          done.push_back(id);
      }
      for (const uint64_t id : done) {
        Arrive(host.m_uploads.at(id).m_to, host.m_uploads.at(id).m_chunk);
        EndUploadOf(host, id);
      }
    }
  }

  Duration LinkShare(const Host& from, const Upload& upload) const {
    const bool narrowed = !IsOriginDown() && Elapsed() > m_load.m_outage_start;
    return kTick / std::ssize(from.m_slots.m_running) /
           (narrowed && IsRemote(from, upload.m_to) ? m_load.m_narrowing : 1);
  }

  bool IsRemote(const Host& from, size_t to) const {
    return m_hosts[to].m_state.m_self.m_region != from.m_state.m_self.m_region;
  }

  static void EndUploadOf(Host& host, uint64_t id) {
    EndUpload(host.m_slots, id);
    host.m_uploads.erase(id);
  }

  bool Follows(size_t follower, const std::string& name) const {
    const auto& neighbours = m_hosts[follower].m_state.m_neighbours;
    return std::any_of(neighbours.begin(), neighbours.end(),
                       [&](const auto& each) { return each.m_name == name; });
  }

  void SendUpdates() {
    for (Host& host : m_hosts) {
      if (host.m_dead || host.m_told == host.m_held.size())
        continue;
      const std::vector<uint32_t> unsent(
          host.m_held.begin() + static_cast<std::ptrdiff_t>(host.m_told),
          host.m_held.end());
      host.m_told = host.m_held.size();
      for (size_t to = 0; to < m_hosts.size(); ++to) {
        if (Follows(to, host.m_state.m_self.m_name))
          m_news.push_back(
              {m_now + kUpdateDelay, host.m_state.m_self.m_name, to, unsent});
      }
    }
    std::erase_if(m_news, [&](const Update& update) {
      if (update.m_at > m_now)
        return false;
      TransferState& state = m_hosts[update.m_to].m_state;
      if (update.m_from.empty())
        RecordOriginFetches(state, update.m_report, m_now);
      else
        RecordNeighbourChunks(state, update.m_from, update.m_chunks, m_now);
      return true;
    });
  }

  void StepHost(size_t index) {
    Host& host = m_hosts[index];
    if (host.m_dead || m_now < host.m_started_at)
      return;
    UpdateMembers(host);
    const TransferActions actions = Step(host.m_state, m_now, m_random);
    for (const FetchChunk& cancel : actions.m_cancels)
      Cancel(index, cancel);
    for (const std::string& name : actions.m_follows) {
      const Host& other = m_hosts[Index(name)];
      if (!other.m_dead)
        m_news.push_back({m_now + kUpdateDelay, name, index, other.m_held, {}});
    }
    bool fetches_from_origin = false;
    for (const FetchChunk& fetch : actions.m_fetches) {
      fetches_from_origin |= fetch.m_source.IsOrigin();
      Send(index, fetch);
    }
    const bool away = host.m_state.m_probe.m_unavailable;
    if (fetches_from_origin ||
        (!away && m_now - host.m_announced >= kAnnounceInterval))
      Announce(index, {},
               away ? OriginStatus::kProbed : OriginStatus::kNotStated);
  }

  void UpdateMembers(Host& host) {
    std::vector<TransferMember> members = host.m_state.m_members;
    std::erase_if(members, [&](const TransferMember& member) {
      const auto until = m_listed_until.find(member.m_name);
      return until != m_listed_until.end() && until->second <= m_now;
    });
    SetMembers(host.m_state, std::move(members), m_now, m_random);
  }

  void Announce(size_t from,
                std::vector<uint32_t> completed,
                OriginStatus status = OriginStatus::kNotStated) {
    OriginFetchReport report;
    report.m_host = m_hosts[from].m_state.m_self.m_name;
    for (const auto& [chunk, fetch] : m_hosts[from].m_state.m_fetching) {
      if (fetch.m_source.IsOrigin())
        report.m_in_progress.push_back(chunk);
    }
    if (!m_load.m_announced ||
        (report.m_in_progress.empty() && completed.empty()))
      return;
    report.m_origin_fetched = std::move(completed);
    report.m_origin = status;
    m_hosts[from].m_announced = m_now;
    for (size_t to = 0; to < m_hosts.size(); ++to) {
      if (to != from)
        m_news.push_back({m_now + kAnnounceDelay, "", to, {}, report});
    }
  }

  void Cancel(size_t index, const FetchChunk& cancel) {
    if (cancel.m_source.IsOrigin()) {
      std::erase_if(m_open_fetches, [&](const OriginFetch& fetch) {
        return fetch.m_host == index && fetch.m_chunk == cancel.m_chunk;
      });
      return;
    }
    Host& from = m_hosts[Index(cancel.m_source.m_host)];
    const auto upload = std::find_if(
        from.m_uploads.begin(), from.m_uploads.end(), [&](const auto& each) {
          return each.second.m_to == index &&
                 each.second.m_chunk == cancel.m_chunk;
        });
    if (upload != from.m_uploads.end())
      EndUploadOf(from, upload->first);
  }

  void Send(size_t index, const FetchChunk& fetch) {
    if (fetch.m_source.IsOrigin()) {
      m_open_fetches.push_back(
          {index, fetch.m_chunk, m_load.m_origin_chunk, m_now});
      return;
    }
    Host& from = m_hosts[Index(fetch.m_source.m_host)];
    if (from.m_dead)
      return;
    const uint64_t id = ++from.m_last_upload;
    from.m_uploads[id] = {index, fetch.m_chunk, m_load.m_host_chunk};
    EnqueueRequest(from.m_slots, 1,
                   {id, fetch.m_chunk, IsRemote(from, index),
                    m_hosts[index].m_state.m_have_count});
  }

  const OutageScenario m_load;
  std::mt19937_64 m_random;
  TimePoint m_now{};
  std::vector<Host> m_hosts;
  std::vector<OriginFetch> m_open_fetches;
  std::vector<Update> m_news;
  std::map<std::string, TimePoint> m_listed_until;
  uint32_t m_draws = 0;
  uint32_t m_failed_hosts = 0;
  std::set<uint32_t> m_drawn;
  uint32_t m_missing_at_outage = 0;
  TimePoint m_last_draw{};
  TimePoint m_half_complete_at{};
  bool m_copy_lost = false;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_FAKE_OUTAGE_FLEET_H_
