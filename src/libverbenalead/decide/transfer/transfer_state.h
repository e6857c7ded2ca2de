#ifndef VERBENALEAD_DECIDE_TRANSFER_TRANSFER_STATE_H_
#define VERBENALEAD_DECIDE_TRANSFER_TRANSFER_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "decide/transfer/chunk_buckets.h"
#include "decide/transfer/chunk_source.h"
#include "decide/transfer/fetch_window.h"
#include "decide/transfer/origin_probe.h"
#include "decide/transfer/transfer_actions.h"
#include "decide/transfer/transfer_limits.h"
#include "decide/transfer/transfer_member.h"
#include "decide/transfer/transfer_neighbour.h"

namespace verbenalead::decide {

/// Chunks ordered by the time from which this host may fetch them.
using ChunkSchedule = std::set<std::pair<TimePoint, uint32_t>>;

/// State of the transfer of one version to this host. Plain data; the functions
/// of "decide/transfer/transfer.h" change it.
struct TransferState {
  struct Fetch {
    ChunkSource m_source;
    TimePoint m_started_at{};
    TimePoint m_progress{};
  };
  /// The schedule that a chunk is in, at most one.
  enum class Schedule : uint8_t {
    kNone,
    kRarestFirst,
    kImports,
    kOriginFetches
  };
  struct Chunk {
    bool m_stored = false;
    bool m_fetch_in_progress = false;
    Schedule m_schedule = Schedule::kNone;
    /// Neighbours that have the chunk: bit i stands for m_neighbours[i].
    uint64_t m_holders = 0;
    /// Number of hosts whose rendezvous hash precedes this host's: among all
    /// hosts, and among those of the same region. 0: this host fetches the
    /// chunk from the origin, or imports it into the region.
    uint16_t m_rank = 0;
    uint16_t m_region_rank = 0;
    /// Start of the schedule by ranks: a host of rank r may fetch the chunk r
    /// take-over delays after it. The schedule ends when a copy is seen and
    /// starts again when the last copy is lost.
    TimePoint m_origin_ranks_from{};
    TimePoint m_import_ranks_from{};
    /// Another host announced that it has fetched the chunk from the origin,
    /// whether or not this host receives updates from it.
    bool m_origin_fetched = false;
    /// Since when the chunk has been among the first that no host has or is
    /// fetching from the origin.
    std::optional<TimePoint> m_open_since;
    /// Until when this host leaves the chunk to another host that announced an
    /// origin fetch of it.
    TimePoint m_announced_until{};
    /// When this host may fetch the chunk, if it is in m_origin_schedule or
    /// m_import_schedule.
    TimePoint m_due_at{};
  };

  TransferMember m_self;
  TransferLimits m_limits;
  TimePoint m_started{};
  std::vector<Chunk> m_chunks;
  uint32_t m_have_count = 0;

  std::vector<TransferMember> m_members;
  std::vector<TransferNeighbour> m_neighbours;
  /// Neighbours of this host's region, as a bit mask.
  uint64_t m_in_region = 0;

  std::map<uint32_t, Fetch> m_fetching;
  /// Limit of concurrent fetches from other hosts.
  FetchWindow m_window;
  uint32_t m_origin_fetching = 0;
  /// Missing chunks that a neighbour of the same region has, by number of
  /// copies there.
  ChunkBuckets m_rarest;
  /// Missing chunks that no neighbour is known to have.
  ChunkSchedule m_origin_schedule;
  /// Missing chunks that only neighbours of other regions have.
  ChunkSchedule m_import_schedule;

  /// By host: when it last announced its origin fetches, and how many it had in
  /// progress.
  std::map<std::string, std::pair<TimePoint, uint32_t>> m_announced_fetches;

  /// When this host last started an origin fetch, and when any host was last
  /// known to have completed one.
  TimePoint m_last_origin_start{};
  TimePoint m_last_origin_success{};
  /// Used only with limits.m_shared_probes.
  OriginProbe m_probe;

  TimePoint m_next_stall_check{};
  TimePoint m_next_refill{};
  TimePoint m_origin_retry_at{};
  uint32_t m_origin_failures = 0;
  /// Origin fetches beyond the first copies that this host may still start.
  uint32_t m_spare_fetches = 0;
  /// Smoothed time from a request to the arrival of its chunk, over all
  /// neighbours.
  Duration m_wait{};
  /// Actions that the next Step returns.
  TransferActions m_pending;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_TRANSFER_STATE_H_
