#ifndef VERBENALEAD_DECIDE_TRANSFER_H_
#define VERBENALEAD_DECIDE_TRANSFER_H_

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"

namespace verbenalead::decide {

/// Where a chunk is fetched from: a host by name, or the origin.
struct ChunkSource {
  /// Empty: the origin.
  std::string m_host;

  bool IsOrigin() const { return m_host.empty(); }
  friend auto operator<=>(const ChunkSource&, const ChunkSource&) = default;
};

/// Tells the daemon to fetch `m_chunk` from `m_source` and to report how it
/// ended by ChunkArrived or ChunkFailed.
struct FetchChunk {
  uint32_t m_chunk = 0;
  ChunkSource m_source;

  friend auto operator<=>(const FetchChunk&, const FetchChunk&) = default;
};

struct TransferLimits {
  /// Fetches under way at once, in all and from one host. Two from one host
  /// keep its link busy while a request travels; more only queue there.
  uint32_t m_max_fetches = 8;
  uint32_t m_max_per_host = 2;
  uint32_t m_max_origin = 2;
  /// A chunk that its drawing host has not offered by then is drawn from the
  /// origin by whoever still needs it.
  Duration m_origin_patience = 2s;
};

/// One version's way to this host.
struct TransferState {
  std::string m_self;
  uint32_t m_chunk_count = 0;
  TransferLimits m_limits;
  TimePoint m_started{};
  std::vector<bool> m_have;
  uint32_t m_have_count = 0;
  std::map<uint32_t, ChunkSource> m_fetching;

  struct Neighbour {
    std::vector<bool> m_have;
    uint32_t m_fetching = 0;
    /// Chunks that came wrong from there: never asked of it again.
    std::set<uint32_t> m_bad;
    TimePoint m_shunned_until{};
  };
  std::map<std::string, Neighbour> m_neighbours;
  uint32_t m_origin_fetching = 0;
  /// Live hosts that take part, this one included: they share out the origin
  /// draws among themselves by rendezvous hash.
  std::vector<std::string> m_members;
  TimePoint m_origin_retry_at{};
};

TransferState StartTransfer(std::string self,
                            uint32_t chunk_count,
                            TransferLimits limits,
                            TimePoint now);

/// Sets who takes part.
void SetMembers(TransferState& state, std::vector<std::string> members);
/// News of what `host` holds.
void NeighbourHas(TransferState& state,
                  const std::string& host,
                  std::vector<bool> have);
void NeighbourLost(TransferState& state, const std::string& host);

/// A verified chunk is here.
void ChunkArrived(TransferState& state, uint32_t chunk);
/// A fetch ended without a good chunk; `corrupt`: bytes came, but wrong ones.
void ChunkFailed(TransferState& state,
                 uint32_t chunk,
                 bool corrupt,
                 TimePoint now);

/// What to fetch now.
std::vector<FetchChunk> NextFetches(TransferState& state,
                                    TimePoint now,
                                    std::mt19937_64& random);

inline bool IsComplete(const TransferState& state) {
  return state.m_have_count == state.m_chunk_count;
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_H_
