#ifndef VERBENALEAD_DECIDE_TRANSFER_TRANSFER_LIMITS_H_
#define VERBENALEAD_DECIDE_TRANSFER_TRANSFER_LIMITS_H_

#include <cstdint>

#include "base/time.h"

namespace verbenalead::decide {

/// Which goal takes precedence when completion time and origin traffic
/// conflict.
enum class TransferPreference {
  kTimeFirst,        ///< Use the origin budget to complete sooner.
  kOriginBytesFirst  ///< Fetch again only what would be lost otherwise.
};

/// Known bandwidth of the links in bytes per second; 0: not known.
struct TransferLinks {
  uint64_t m_chunk_bytes = 0;
  /// The part of a host's bandwidth that transfers may use; the lesser of both
  /// directions.
  uint64_t m_host = 0;
  uint64_t m_origin = 0;
};

/// Limits of one transfer. `docs/design/transfer.md` has the figures behind the
/// defaults.
struct TransferLimits {
  TransferPreference m_preference = TransferPreference::kTimeFirst;
  /// Copies of the version that all hosts together may fetch from the origin,
  /// in percent. The part above 100 is divided evenly among the hosts and used
  /// as m_preference says.
  uint32_t m_origin_budget_percent = 103;
  /// Interval between origin fetches of all hosts together: the bytes of a
  /// chunk divided by the bandwidth of the origin's link. Without it 300 hosts
  /// that start at once would share that link 300 ways, and no chunk would be
  /// complete, and could be passed on, before a third of all chunks are
  /// complete. 0: the bandwidth is not known; fetches start at once.
  Duration m_origin_interval{};

  /// Concurrent fetches from other hosts: one from each neighbour of the same
  /// region, more than one only where there are few neighbours. With fewer
  /// fetches links are idle while requests queue at busy hosts; two fetches
  /// from one host leave the links of other hosts idle.
  uint32_t m_max_fetches = 14;
  /// A longer wait for a chunk reduces the number of concurrent fetches; zero:
  /// never.
  Duration m_slow_fetch_threshold{};
  /// Least number of concurrent fetches from other hosts while fewer than
  /// m_last_chunks chunks are missing; 0: as many as before. Slow chunks from
  /// busy hosts shrink the fetch window, and then the last chunks wait although
  /// the link has room.
  uint32_t m_min_last_fetches = 0;
  uint32_t m_last_chunks = 0;
  uint32_t m_max_own_origin_fetches = 2;

  /// Neighbours in the same data centre, in other data centres of the same
  /// region, and in other regions. With these numbers two random hosts of 1,400
  /// are 3 hops apart, and the traffic of updates stays low.
  uint32_t m_data_center_neighbours = 10;
  uint32_t m_region_neighbours = 4;
  uint32_t m_remote_neighbours = 2;
  /// Hosts in other regions that are followed in addition because they fetch
  /// from the origin chunks that this host has to import into its region.
  uint32_t m_import_neighbours = 16;

  /// Take-over delay: an origin fetch or an import whose chunk has not been
  /// seen this long after it was due is taken over by the host with the next
  /// rendezvous hash, and so on. It must be long enough for a chunk to pass
  /// through a full upload queue and for the update about it to arrive;
  /// otherwise chunks of a host that is only slow are fetched twice.
  Duration m_takeover_delay = 8s;
  /// Concurrent origin fetches of all hosts together, where each host announces
  /// its own to the others; 0: hosts announce none and follow m_origin_interval
  /// alone.
  uint32_t m_max_origin_fetches = 0;
  /// While the origin is unavailable, hosts probe it in turns, and a host that
  /// gets an answer announces that. Otherwise each host retries by itself.
  bool m_shared_probes = false;
  /// How long an announced origin fetch keeps other hosts from fetching the
  /// same chunk. A host repeats its announcement twice as often as that.
  Duration m_announcement_ttl = 600ms;
  /// Maximum backoff of a host after consecutive failed origin fetches.
  Duration m_max_origin_backoff = 10s;
  /// A fetch that receives no byte for m_stall_factor times the usual wait has
  /// stalled, even if its connection appears alive. m_min_stall and m_max_stall
  /// bound that time; m_max_stall applies while no wait has been measured.
  uint32_t m_stall_factor = 4;
  Duration m_min_stall = 1s;
  Duration m_max_stall = 20s;

  friend bool operator==(const TransferLimits&,
                         const TransferLimits&) = default;
};

/// The limits for a version with chunks of this size on such links.
TransferLimits LimitsFor(const TransferLinks& links,
                         TransferPreference preference,
                         uint32_t origin_budget_percent);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_TRANSFER_LIMITS_H_
