#ifndef VERBENALEAD_DECIDE_TRANSFER_LIMITS_H_
#define VERBENALEAD_DECIDE_TRANSFER_LIMITS_H_

#include <cstdint>

#include "base/time.h"

namespace verbenalead::decide {

/// Which of the two measures goes first where they clash.
enum class TransferPreference {
  kTimeFirst,        ///< Spend the origin budget to end sooner.
  kOriginBytesFirst  ///< Draw again only what would be lost otherwise.
};

/// What is known of the links, in bytes a second; 0: not known.
struct TransferLinks {
  uint64_t m_chunk_bytes = 0;
  /// A host's share for transfers, the lesser of both directions.
  uint64_t m_host = 0;
  uint64_t m_origin = 0;
};

/// Bounds of one transfer. `docs/design/transfer.md` has the figures that the
/// defaults were chosen by.
struct TransferLimits {
  TransferPreference m_preference = TransferPreference::kTimeFirst;
  /// Copies drawn from the origin by all hosts together, in percent. What is
  /// above 100 is shared out evenly and spent as m_preference says.
  uint32_t m_origin_budget_percent = 103;
  /// Time between the origin draws of all hosts together: a chunk's bytes over
  /// the rate of the origin's link. Without it a burst of 300 hosts would share
  /// that link 300 ways, and no chunk would be whole, and so be passed on,
  /// before a third of them are. 0: the rate isn't known; draw at once.
  Duration m_origin_interval{};

  /// Fetches from hosts under way at once: one from each near neighbour, more
  /// only where there are few. Fewer leave links idle while requests queue at
  /// busy hosts; two from one host leave other hosts' links idle.
  uint32_t m_max_fetches = 14;
  /// A wait for a chunk from which on there are fewer; zero: never.
  Duration m_slow_wait{};
  uint32_t m_max_origin = 2;

  /// Neighbours in the own data centre, in the own region, elsewhere. Two
  /// random hosts are then 3 hops apart among 1,400, and news stays cheap.
  uint32_t m_data_center_neighbours = 10;
  uint32_t m_region_neighbours = 4;
  uint32_t m_far_neighbours = 2;
  /// Hosts in other regions that are followed because this host has to bring
  /// chunks over that they draw.
  uint32_t m_import_neighbours = 16;

  /// A draw or an import that hasn't been seen this long after it was due is
  /// taken over by the host whose hash is next, and so on. Long enough for a
  /// chunk to come through a full queue and be heard of, so that a drawer
  /// that is only slow isn't doubled.
  Duration m_patience = 8s;
  /// Draws of all hosts together that go on at once where each tells the others
  /// of its own; 0: hosts don't, and go by the interval alone.
  uint32_t m_draws_at_once = 0;
  /// How long a host that says that it draws a chunk is waited for; it says so
  /// again meanwhile, twice as often.
  Duration m_draw_hold = 600ms;
  /// The longest pause of a host after draws that failed in a row.
  Duration m_max_origin_back_off = 10s;
  /// A fetch without a byte for this many times the usual wait has stalled,
  /// whatever its connection says; the two bounds hold where little is known.
  uint32_t m_stall_factor = 4;
  Duration m_min_stall = 1s;
  Duration m_max_stall = 20s;

  friend bool operator==(const TransferLimits&,
                         const TransferLimits&) = default;
};

/// The bounds for a version of such chunks on such links.
TransferLimits LimitsFor(const TransferLinks& links,
                         TransferPreference preference,
                         uint32_t origin_budget_percent);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_LIMITS_H_
