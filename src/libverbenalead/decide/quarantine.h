#ifndef VERBENALEAD_DECIDE_QUARANTINE_H_
#define VERBENALEAD_DECIDE_QUARANTINE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace verbenalead::decide {

/// A target crashed while it ran the request with this key.
struct CrashNote {
  /// model::Call::fingerprint().
  uint64_t m_key = 0;
  std::string m_target;
  TimePoint m_at{};

  friend auto operator<=>(const CrashNote&, const CrashNote&) = default;
};

/// Requests under which targets crash.
///
/// Made for the one request that crashes each target that runs it, and whose
/// caller sends it again: retried, it takes a pool down target by target. A
/// target that crashes for reasons of its own takes many requests with it, but
/// each of them only once; a request under which two targets crashed is set
/// aside. So a request costs two targets at most, over all entries that have
/// heard of it.
struct QuarantineState {
  /// Key -> target -> when it crashed last.
  std::map<uint64_t, std::map<std::string, TimePoint>> m_crashes;
  /// Not yet told to the other entries.
  std::vector<CrashNote> m_news;
};

constexpr size_t kCrashesToSetAside = 2;
/// Long enough that whoever sends it again in a loop gives up or is asked why;
/// a version that is mended meanwhile serves it then.
constexpr Duration kSetAsideFor = std::chrono::minutes(10);
/// When a data centre fails, each request that ran there leaves a note: 20,000
/// of them take about 4 MB. Beyond, the oldest knowledge isn't worth more.
constexpr size_t kMaxKeys = 20000;

/// A target crashed under `key`: kept, and told to the others.
void NoteCrash(QuarantineState& state,
               uint64_t key,
               const std::string& target,
               TimePoint now);
/// The request ran well: what crashed under it before had another cause. So a
/// request that is sent over and over, as status checks are, isn't blamed for
/// the hosts that happened to die under it.
void NoteSuccess(QuarantineState& state, uint64_t key);
/// Whether the request with `key` must not run now.
bool IsSetAside(const QuarantineState& state, uint64_t key, TimePoint now);
/// What is to be told to the other entries; each note is handed out once.
std::vector<CrashNote> News(QuarantineState& state);
/// Takes in what another entry tells, in any order and any number of times. It
/// is not told on: each entry tells all.
void Merge(QuarantineState& state,
           const std::vector<CrashNote>& notes,
           TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_QUARANTINE_H_
