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

/// When a request is set aside, and for how long.
struct QuarantineLimits {
  size_t m_crashes = 2;
  /// Long enough that whoever sends it again in a loop gives up or is asked
  /// why; a version that is mended meanwhile serves it then.
  Duration m_hold = std::chrono::minutes(10);

  friend bool operator==(const QuarantineLimits&,
                         const QuarantineLimits&) = default;
};

/// Requests under which targets crash.
///
/// Made for the one request that crashes each target that runs it, and whose
/// caller sends it again: retried, it takes a pool down target by target. A
/// target that crashes for reasons of its own takes many requests with it, but
/// each of them only once; a request under which two targets crashed, or as
/// many as the limits say, is set aside. So it costs no more targets than that,
/// over all entries that have heard of it.
struct QuarantineState {
  QuarantineLimits m_limits;
  /// Key -> target -> when it crashed last.
  std::map<uint64_t, std::map<std::string, TimePoint>> m_crashes;
  /// Not yet told to the other entries.
  std::vector<CrashNote> m_news;
  /// Requests that ran well though a target had crashed under them, and when:
  /// what others tell late doesn't bring the blame back.
  std::map<uint64_t, TimePoint> m_cleared;
};

/// When a data centre fails, each request that ran there leaves a note: 20,000
/// of them take about 4 MB. Beyond, the oldest knowledge isn't worth more.
constexpr size_t kMaxKeys = 20000;

/// A target crashed under `key`: kept, and told to the others.
void NoteCrash(QuarantineState& state,
               uint64_t key,
               const std::string& target,
               TimePoint now);
/// What identifies a request when it comes again, the same in every process.
uint64_t RequestKey(const std::string& organisation,
                    const std::string& method,
                    const std::string& path,
                    const std::string& body);
/// The request ran well: what crashed under it before had another cause. So a
/// request that is sent over and over, as status checks are, isn't blamed for
/// the hosts that happened to die under it.
void NoteSuccess(QuarantineState& state, uint64_t key, TimePoint now);
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
