#ifndef VERBENALEAD_DECIDE_PREFIX_INDEX_H_
#define VERBENALEAD_DECIDE_PREFIX_INDEX_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace verbenalead::decide {

/// A target that is believed to hold a prefix, and when this was last known: by
/// a call that was sent there, or by an event of its engine.
struct PrefixHolder {
  /// Hash of its name.
  uint64_t m_target = 0;
  TimePoint m_known_at{};
};

/// The prompt prefixes that a pool's targets are believed to hold.
///
/// Made for engines whose events come late and with gaps, and whose memory is
/// limited: an eviction may never be heard of. So a belief fades with its age
/// instead of lasting until an event ends it.
struct PrefixIndex {
  std::unordered_map<uint64_t, std::vector<PrefixHolder>> m_holders;
  TimePoint m_swept_at{};
};

/// A belief older than this counts for nothing: an engine's cache under load
/// turns over in a few minutes.
constexpr Duration kPrefixForgotten = std::chrono::minutes(2);
/// Prefixes remembered at most: about 5 MB for each pool.
constexpr size_t kMaxPrefixes = 50000;

/// `prefix` was on `target` at `when`; older news than what is known is
/// ignored.
void NotePrefix(PrefixIndex& index,
                uint64_t prefix,
                uint64_t target,
                TimePoint when);
/// `prefix` was evicted at `when`; a use since then has brought it back.
void NoteEviction(PrefixIndex& index,
                  uint64_t prefix,
                  uint64_t target,
                  TimePoint when);
/// `target` has lost its memory.
void ForgetTarget(PrefixIndex& index, uint64_t target);
/// Those that are believed to hold `prefix`, or nullptr.
const std::vector<PrefixHolder>* HoldersOf(const PrefixIndex& index,
                                           uint64_t prefix);
/// Whether `target` is among `holders`, which may be nullptr; beliefs that are
/// too old count for nothing.
bool Holds(const std::vector<PrefixHolder>* holders,
           uint64_t target,
           TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_PREFIX_INDEX_H_
