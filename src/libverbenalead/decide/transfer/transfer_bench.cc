// Measures in virtual time how a new version spreads over all hosts, with the
// transfer code as the daemon uses it and links of limited bandwidth at both
// ends.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <memory>
#include <queue>
#include <unordered_map>

#include "decide/membership/rendezvous.h"
#include "decide/transfer/transfer.h"
#include "decide/transfer/transfer_plan.h"
#include "decide/transfer/upload_queue.h"

namespace verbenalead::decide {
namespace {

// A version has 500 chunks. A host's link carries one chunk in kChunkTime, the
// origin's link two. In the time kLowerBound * 2 each host's link thus carries
// 2 copies of the version, and the origin's 4. The last host cannot complete
// before kLowerBound.
constexpr uint32_t kChunks = 500;
constexpr Duration kChunkTime = 120ms;
constexpr uint64_t kChunkBytes = 12'000'000;
constexpr uint64_t kHostRate = 100'000'000;
constexpr uint32_t kOriginBudgetPercent = 103;
constexpr Duration kLowerBound = kChunks * kChunkTime;
constexpr Duration kTimeLimit = 4 * kLowerBound;
constexpr uint32_t kRegions = 3;
constexpr uint32_t kDataCenters = 2;
constexpr uint64_t kSeed = 20261202;
constexpr Duration kOneWay[] = {500us, 1ms, 2ms};

// Bytes on an HTTP/2 connection with compressed headers: a frame of updates
// with its chunk numbers; a request for a chunk and the header of its response.
constexpr uint64_t kUpdateBytes = 9 + 4;
constexpr uint64_t kRequestBytes = 9 + 90;
constexpr uint64_t kResponseBytes = 9 + 9 + 30;
constexpr Duration kUpdateInterval = 50ms;
constexpr uint64_t kFollowBytes = 9 + 90 + 9 + kChunks / 8;

struct Scenario {
  uint32_t m_hosts = 300;
  bool m_faults = false;
  TransferPreference m_preference = TransferPreference::kTimeFirst;
};

enum class EventKind {
  kTick,
  kUpdate,
  kRequest,
  kSendNext,
  kArrival,
  kOriginDone,
  kHostFailures
};

struct Event {
  TimePoint m_at;
  uint64_t m_order = 0;
  EventKind m_kind = EventKind::kTick;
  uint32_t m_host = 0;
  uint32_t m_peer = 0;
  uint32_t m_chunk = 0;
  uint64_t m_fetch = 0;

  bool operator<(const Event& other) const {
    return std::tie(other.m_at, other.m_order) < std::tie(m_at, m_order);
  }
};

constexpr uint32_t kOrigin = ~uint32_t{0};

/// A chunk that is being sent to a host; m_fetch is the number of that host's
/// fetch.
struct Upload {
  uint32_t m_to = 0;
  uint32_t m_chunk = 0;
  uint64_t m_fetch = 0;
};

struct SimulatedHost {
  TransferState m_transfer;
  std::vector<uint32_t> m_followers;
  /// Waiting requests, whose ids are fetch numbers, and the requesting hosts.
  UploadQueue m_queue;
  std::unordered_map<uint64_t, uint32_t> m_requesters;
  bool m_sending = false;
  TimePoint m_download_free{};
  bool m_dead = false;
  TimePoint m_done{};
  /// The number of the current fetch of each chunk; 0: none.
  std::vector<uint64_t> m_fetches = std::vector<uint64_t>(kChunks);
  uint64_t m_messages = 0;
  uint64_t m_control_bytes = 0;
};

class Simulation {
 public:
  explicit Simulation(const Scenario& scenario)
      : m_scenario(scenario), m_random(kSeed), m_hosts(scenario.m_hosts) {
    for (uint32_t i = 0; i < scenario.m_hosts; ++i)
      m_members.push_back(MemberOf(i));
    for (uint32_t i = 0; i < scenario.m_hosts; ++i)
      StartHost(i);
    if (scenario.m_faults)
      Schedule(kLowerBound / 2, {.m_kind = EventKind::kHostFailures});
  }

  void Run() {
    while (!m_events.empty() && m_left > 0) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      if (m_now - TimePoint() > kTimeLimit)
        break;
      Handle(event);
    }
  }

  void Print(double seconds) const;

 private:
  static TransferMember MemberOf(uint32_t index) {
    const uint32_t region = index % kRegions;
    const uint32_t center = index / kRegions % kDataCenters;
    char name[16];
    std::snprintf(name, sizeof name, "host-%05u", index);
    const std::string region_name = "region-" + std::to_string(region);
    return {name, region_name, region_name + "-" + std::to_string(center)};
  }

  static uint32_t IndexOf(const std::string& name) {
    return static_cast<uint32_t>(std::stoul(name.substr(5)));
  }

  void StartHost(uint32_t index) {
    const TransferLimits limits =
        LimitsFor({kChunkBytes, kHostRate, 2 * kHostRate},
                  m_scenario.m_preference, kOriginBudgetPercent);
    SimulatedHost& host = m_hosts[index];
    host.m_transfer =
        StartTransfer(m_members[index], kChunks, limits, TimePoint());
    SetMembers(host.m_transfer, m_members, m_now, m_random);
    Schedule(Duration(m_random() % kTransferTick.count()),
             {.m_kind = EventKind::kTick, .m_host = index});
    ++m_left;
  }

  void Schedule(Duration in, Event event) {
    event.m_at = m_now + in;
    event.m_order = ++m_order;
    m_events.push(event);
  }

  Duration OneWay(uint32_t a, uint32_t b) const {
    return kOneWay[static_cast<size_t>(
        DistanceBetween(m_members[a], m_members[b]))];
  }

  /// Updates arrive late by a round trip and by the time for which the daemon
  /// collects them.
  Duration UpdateDelay(uint32_t from, uint32_t to) {
    return 2 * OneWay(from, to) +
           Duration(m_random() % Duration(kUpdateInterval).count());
  }

  /// From half of kLowerBound on, 2% of the links between hosts deliver nothing
  /// while their connections stay open.
  bool Stalled(uint32_t a, uint32_t b) const {
    if (!m_faulty)
      return false;
    const uint64_t link = uint64_t{std::min(a, b)} << 32 | std::max(a, b);
    return MixNumber(link, 0) % 100 < 2;
  }

  bool Reaches(uint32_t a, uint32_t b) const {
    return !m_hosts[a].m_dead && !m_hosts[b].m_dead && !Stalled(a, b);
  }

  void Count(uint32_t host, uint64_t bytes) {
    ++m_hosts[host].m_messages;
    m_hosts[host].m_control_bytes += bytes;
  }

  void Handle(const Event& event);
  void StepHost(uint32_t index);
  void Follow(uint32_t index, uint32_t peer);
  void Unfollow(uint32_t index, uint32_t peer);
  void Fetch(uint32_t index, const FetchChunk& fetch);
  void Enqueue(const Event& event);
  void SendNext(uint32_t index);
  void Arrive(const Event& event);
  void StartOriginFetch(uint32_t index, uint32_t chunk, uint64_t fetch);
  void AdvanceOrigin();
  void OriginDone(const Event& event);
  void FailHosts();

  struct OriginFetch {
    double m_finish = 0;
    Upload m_upload;
  };

  const Scenario m_scenario;
  std::mt19937_64 m_random;
  std::vector<TransferMember> m_members;
  std::vector<SimulatedHost> m_hosts;
  std::priority_queue<Event> m_events;
  uint64_t m_order = 0;
  uint64_t m_next_fetch = 0;
  TimePoint m_now{};
  uint32_t m_left = 0;
  bool m_faulty = false;

  // The origin divides its link evenly among open fetches, but gives one fetch
  // at most the bandwidth of a host's link. m_served: chunks sent so far to a
  // fetch that was open all the time.
  std::deque<OriginFetch> m_draws;
  double m_served = 0;
  TimePoint m_origin_seen{};
  uint64_t m_origin_round = 0;
  uint64_t m_origin_chunks = 0;
  size_t m_max_open_fetches = 0;
  uint64_t m_far_chunks = 0;
  uint64_t m_center_chunks = 0;
  uint64_t m_peer_chunks = 0;
  uint64_t m_steps = 0;
};

void Simulation::Handle(const Event& event) {
  SimulatedHost* host = &m_hosts[event.m_host];
  switch (event.m_kind) {
    case EventKind::kTick:
      if (host->m_dead || host->m_done != TimePoint())
        return;
      StepHost(event.m_host);
      Schedule(kTransferTick,
               {.m_kind = EventKind::kTick, .m_host = event.m_host});
      return;
    case EventKind::kUpdate:
      if (!Reaches(event.m_host, event.m_peer) || host->m_done != TimePoint())
        return;
      Count(event.m_host, kUpdateBytes);
      RecordNeighbourChunks(host->m_transfer, m_members[event.m_peer].m_name,
                            {event.m_chunk}, m_now);
      StepHost(event.m_host);
      return;
    case EventKind::kRequest:
      if (!Reaches(event.m_host, event.m_peer))
        return;
      Count(event.m_host, kRequestBytes + kResponseBytes);
      Enqueue(event);
      if (!host->m_sending)
        SendNext(event.m_host);
      return;
    case EventKind::kSendNext:
      host->m_sending = false;
      SendNext(event.m_host);
      return;
    case EventKind::kArrival:
      Arrive(event);
      return;
    case EventKind::kOriginDone:
      OriginDone(event);
      return;
    case EventKind::kHostFailures:
      FailHosts();
      return;
  }
}

void Simulation::StepHost(uint32_t index) {
  SimulatedHost& host = m_hosts[index];
  if (host.m_done != TimePoint())
    return;
  ++m_steps;
  const TransferActions actions = Step(host.m_transfer, m_now, m_random);
  for (const FetchChunk& cancel : actions.m_cancels)
    host.m_fetches[cancel.m_chunk] = 0;
  for (const std::string& name : actions.m_unfollows)
    Unfollow(index, IndexOf(name));
  for (const std::string& name : actions.m_follows)
    Follow(index, IndexOf(name));
  for (const FetchChunk& fetch : actions.m_fetches)
    Fetch(index, fetch);
}

void Simulation::Follow(uint32_t index, uint32_t peer) {
  Count(index, kFollowBytes);
  Count(peer, kFollowBytes);
  if (!Reaches(index, peer))
    return;
  SimulatedHost& other = m_hosts[peer];
  other.m_followers.push_back(index);
  const Duration round_trip = 2 * OneWay(index, peer);
  for (uint32_t chunk = 0; chunk < kChunks; ++chunk) {
    if (!other.m_transfer.m_chunks[chunk].m_stored)
      continue;
    // Included in the first response, which kFollowBytes counts as a whole.
    m_hosts[index].m_control_bytes -= kUpdateBytes;
    --m_hosts[index].m_messages;
    Schedule(round_trip, {.m_kind = EventKind::kUpdate,
                          .m_host = index,
                          .m_peer = peer,
                          .m_chunk = chunk});
  }
}

void Simulation::Unfollow(uint32_t index, uint32_t peer) {
  std::erase(m_hosts[peer].m_followers, index);
}

void Simulation::Fetch(uint32_t index, const FetchChunk& fetch) {
  const uint64_t number = ++m_next_fetch;
  m_hosts[index].m_fetches[fetch.m_chunk] = number;
  if (fetch.m_source.IsOrigin()) {
    StartOriginFetch(index, fetch.m_chunk, number);
    return;
  }
  const uint32_t peer = IndexOf(fetch.m_source.m_host);
  Count(index, kRequestBytes + kResponseBytes);
  Schedule(OneWay(index, peer), {.m_kind = EventKind::kRequest,
                                 .m_host = peer,
                                 .m_peer = index,
                                 .m_chunk = fetch.m_chunk,
                                 .m_fetch = number});
}

void Simulation::Enqueue(const Event& event) {
  SimulatedHost& host = m_hosts[event.m_host];
  const bool remote =
      m_members[event.m_host].m_region != m_members[event.m_peer].m_region;
  host.m_requesters[event.m_fetch] = event.m_peer;
  EnqueueUpload(host.m_queue, {event.m_fetch, event.m_chunk, remote,
                               m_hosts[event.m_peer].m_transfer.m_have_count});
}

/// Starts the next upload of a host. It occupies the host's link for
/// kChunkTime, and the receiver's link for kChunkTime from when that is free.
void Simulation::SendNext(uint32_t index) {
  SimulatedHost& host = m_hosts[index];
  while (const auto next = DequeueUpload(host.m_queue)) {
    const Upload upload = {host.m_requesters[next->m_id], next->m_chunk,
                           next->m_id};
    host.m_requesters.erase(next->m_id);
    SimulatedHost& to = m_hosts[upload.m_to];
    const bool wanted = to.m_fetches[upload.m_chunk] == upload.m_fetch;
    if (host.m_dead || to.m_dead || !wanted || Stalled(index, upload.m_to))
      continue;
    host.m_sending = true;
    Schedule(kChunkTime, {.m_kind = EventKind::kSendNext, .m_host = index});
    const TimePoint start = std::max(m_now, to.m_download_free);
    to.m_download_free = start + kChunkTime;
    const Duration late = OneWay(index, upload.m_to);
    Schedule(to.m_download_free + late - m_now, {.m_kind = EventKind::kArrival,
                                                 .m_host = upload.m_to,
                                                 .m_peer = index,
                                                 .m_chunk = upload.m_chunk,
                                                 .m_fetch = upload.m_fetch});
    return;
  }
}

void Simulation::Arrive(const Event& event) {
  SimulatedHost& host = m_hosts[event.m_host];
  if (host.m_dead || host.m_fetches[event.m_chunk] != event.m_fetch)
    return;
  if (event.m_peer != kOrigin && !Reaches(event.m_host, event.m_peer))
    return;
  host.m_fetches[event.m_chunk] = 0;
  if (event.m_peer != kOrigin) {
    ++m_peer_chunks;
    const Distance distance =
        DistanceBetween(m_members[event.m_host], m_members[event.m_peer]);
    m_far_chunks += distance == Distance::kRemote;
    m_center_chunks += distance == Distance::kDataCenter;
  }
  const bool corrupt = m_scenario.m_faults && m_random() % 100 == 0;
  if (corrupt) {
    RecordChunkFailure(host.m_transfer, event.m_chunk, true, m_now, m_random);
  } else {
    RecordChunkArrival(host.m_transfer, event.m_chunk, m_now);
    for (uint32_t follower : host.m_followers) {
      Count(event.m_host, kUpdateBytes);
      Schedule(UpdateDelay(event.m_host, follower),
               {.m_kind = EventKind::kUpdate,
                .m_host = follower,
                .m_peer = event.m_host,
                .m_chunk = event.m_chunk});
    }
  }
  StepHost(event.m_host);
  if (IsComplete(host.m_transfer) && host.m_done == TimePoint()) {
    host.m_done = m_now;
    --m_left;
  }
}

void Simulation::AdvanceOrigin() {
  if (!m_draws.empty()) {
    const double rate =
        std::min(1.0, 2.0 / static_cast<double>(m_draws.size()));
    m_served += rate * static_cast<double>((m_now - m_origin_seen).count()) /
                static_cast<double>(Duration(kChunkTime).count());
  }
  m_origin_seen = m_now;
  if (m_draws.empty())
    return;
}

void Simulation::StartOriginFetch(uint32_t index,
                                  uint32_t chunk,
                                  uint64_t fetch) {
  AdvanceOrigin();
  m_draws.push_back({m_served + 1, {index, chunk, fetch}});
  m_max_open_fetches = std::max(m_max_open_fetches, m_draws.size());
  OriginDone({});
}

/// Delivers the origin fetches that are complete and schedules the next
/// completion.
void Simulation::OriginDone(const Event& event) {
  if (event.m_fetch != 0 && event.m_fetch != m_origin_round)
    return;
  AdvanceOrigin();
  constexpr double kEpsilon = 1e-6;
  while (!m_draws.empty() && m_draws.front().m_finish <= m_served + kEpsilon) {
    const Upload upload = m_draws.front().m_upload;
    m_draws.pop_front();
    ++m_origin_chunks;
    SimulatedHost& to = m_hosts[upload.m_to];
    to.m_download_free = std::max(m_now, to.m_download_free + kChunkTime);
    Schedule(to.m_download_free - m_now, {.m_kind = EventKind::kArrival,
                                          .m_host = upload.m_to,
                                          .m_peer = kOrigin,
                                          .m_chunk = upload.m_chunk,
                                          .m_fetch = upload.m_fetch});
  }
  if (m_draws.empty())
    return;
  const double rate = std::min(1.0, 2.0 / static_cast<double>(m_draws.size()));
  const double wait = (m_draws.front().m_finish - m_served) / rate *
                      static_cast<double>(Duration(kChunkTime).count());
  Schedule(Duration(static_cast<int64_t>(wait) + 1),
           {.m_kind = EventKind::kOriginDone, .m_fetch = ++m_origin_round});
}

void Simulation::FailHosts() {
  m_faulty = true;
  std::vector<uint32_t> order(m_hosts.size());
  for (uint32_t i = 0; i < order.size(); ++i)
    order[i] = i;
  std::shuffle(order.begin(), order.end(), m_random);
  for (size_t i = 0; i < order.size() / 20; ++i) {
    SimulatedHost& host = m_hosts[order[i]];
    host.m_dead = true;
    if (host.m_done == TimePoint())
      --m_left;
  }
}

void Simulation::Print(double seconds) const {
  std::vector<double> ratios;
  uint64_t messages = 0;
  double max_rate = 0;
  double rate = 0;
  const double bound = std::chrono::duration<double>(kLowerBound).count();
  const double end = std::chrono::duration<double>(m_now - TimePoint()).count();
  for (const SimulatedHost& host : m_hosts) {
    if (host.m_dead)
      continue;
    if (host.m_done != TimePoint())
      ratios.push_back(
          std::chrono::duration<double>(host.m_done - TimePoint()).count() /
          bound);
    messages += host.m_messages;
    const double own = static_cast<double>(host.m_control_bytes) / end;
    rate += own;
    max_rate = std::max(max_rate, own);
  }
  std::sort(ratios.begin(), ratios.end());
  const double count = static_cast<double>(m_hosts.size());
  const bool time_first =
      m_scenario.m_preference == TransferPreference::kTimeFirst;
  std::printf(
      "bench=weights hosts=%u faults=%s setting=%s ratio_last=%.3f "
      "ratio_p50=%.3f origin_copies=%.3f unfinished=%u chunks=%u "
      "region_crossings_per_chunk=%.2f same_data_center=%.2f "
      "control_messages_per_host=%.0f control_bytes_per_second=%.0f "
      "control_bytes_per_second_most=%.0f origin_open_draws_most=%zu "
      "step_us=%.2f wall_s=%.1f\n",
      m_scenario.m_hosts, m_scenario.m_faults ? "yes" : "no",
      time_first ? "time_first" : "origin_bytes_first",
      ratios.empty() ? 0.0 : ratios.back(),
      ratios.empty() ? 0.0 : ratios[ratios.size() / 2],
      static_cast<double>(m_origin_chunks) / kChunks, m_left, kChunks,
      static_cast<double>(m_far_chunks) / kChunks,
      static_cast<double>(m_center_chunks) / static_cast<double>(m_peer_chunks),
      static_cast<double>(messages) / count, rate / count, max_rate,
      m_max_open_fetches, seconds * 1e6 / static_cast<double>(m_steps),
      seconds);
  std::fflush(stdout);
}

void Measure(const Scenario& scenario) {
  const auto began = std::chrono::steady_clock::now();
  Simulation simulation(scenario);
  simulation.Run();
  simulation.Print(
      std::chrono::duration<double>(std::chrono::steady_clock::now() - began)
          .count());
}

}  // namespace
}  // namespace verbenalead::decide

int main() {
  using verbenalead::decide::Measure;
  using verbenalead::decide::TransferPreference;
  constexpr auto kTime = TransferPreference::kTimeFirst;
  constexpr auto kBytes = TransferPreference::kOriginBytesFirst;
  for (bool faults : {false, true}) {
    for (auto preference : {kTime, kBytes})
      Measure({300, faults, preference});
  }
  // The two scenarios with the worst results at this size; each runs for 15 s.
  Measure({1400, false, kBytes});
  Measure({1400, true, kTime});
}
