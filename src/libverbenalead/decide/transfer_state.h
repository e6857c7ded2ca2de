#ifndef VERBENALEAD_DECIDE_TRANSFER_STATE_H_
#define VERBENALEAD_DECIDE_TRANSFER_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "decide/chunk_buckets.h"
#include "decide/chunk_source.h"
#include "decide/fetch_window.h"
#include "decide/transfer_actions.h"
#include "decide/transfer_limits.h"
#include "decide/transfer_member.h"
#include "decide/transfer_neighbour.h"

namespace verbenalead::decide {

/// Chunks by the time from which this host may bring them in.
using ChunkSchedule = std::set<std::pair<TimePoint, uint32_t>>;

/// One version's way to this host. Plain data; the functions of
/// "decide/transfer.h" change it.
struct TransferState {
  struct Fetch {
    ChunkSource m_source;
    TimePoint m_begun{};
    TimePoint m_progress{};
  };
  /// Where a chunk is scheduled: at most in one place.
  enum class Place : uint8_t { kNowhere, kRarest, kImports, kDraws };
  struct Chunk {
    bool m_here = false;
    bool m_under_way = false;
    Place m_place = Place::kNowhere;
    /// Neighbours that have it: bit i stands for m_neighbours[i].
    uint64_t m_holders = 0;
    /// Hosts whose rendezvous hash goes before ours: among all, and in our
    /// region. 0: it is ours to draw, or to bring into the region.
    uint16_t m_rank = 0;
    uint16_t m_region_rank = 0;
    /// When the ranks' turns begin. A copy that is seen ends them; the loss of
    /// the last copy begins them again.
    TimePoint m_draw_base{};
    TimePoint m_import_base{};
    /// Another host said that it has drawn it, whether or not its news reach
    /// this one.
    bool m_drawn = false;
    /// Since when it is among the first that nobody has or draws.
    std::optional<TimePoint> m_open_since;
    /// Until when another host that said that it draws it is waited for.
    TimePoint m_held_until{};
    /// When it is our turn, if it is in m_draws or m_imports.
    TimePoint m_turn{};
  };

  TransferMember m_self;
  TransferLimits m_limits;
  TimePoint m_started{};
  std::vector<Chunk> m_chunks;
  uint32_t m_have_count = 0;

  std::vector<TransferMember> m_members;
  std::vector<TransferNeighbour> m_neighbours;
  /// Neighbours of our own region, as a mask.
  uint64_t m_near = 0;

  std::map<uint32_t, Fetch> m_fetching;
  /// Fetches from hosts under way at once.
  FetchWindow m_window;
  uint32_t m_origin_fetching = 0;
  /// Missing chunks that a neighbour of our region has, by copies there.
  ChunkBuckets m_rarest;
  /// Missing chunks that no neighbour is known to have.
  ChunkSchedule m_draws;
  /// Missing chunks that only neighbours of other regions have.
  ChunkSchedule m_imports;

  /// Draws under way at other hosts, and when they last said so.
  std::map<std::string, std::pair<TimePoint, uint32_t>> m_draws_elsewhere;

  /// When this host last began a draw, and when any host was last seen to have
  /// ended one well.
  TimePoint m_last_draw{};
  TimePoint m_last_drawn{};

  TimePoint m_next_stall_check{};
  TimePoint m_next_refill{};
  TimePoint m_origin_retry_at{};
  uint32_t m_origin_failures = 0;
  /// Draws beyond the first copy that are left to this host.
  uint32_t m_spare_draws = 0;
  /// Smoothed wait for a chunk from any neighbour.
  Duration m_wait{};
  /// Follows and cancels that the next Step hands out.
  TransferActions m_pending;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_STATE_H_
