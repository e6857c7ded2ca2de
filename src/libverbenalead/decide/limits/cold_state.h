#ifndef VERBENALEAD_DECIDE_LIMITS_COLD_STATE_H_
#define VERBENALEAD_DECIDE_LIMITS_COLD_STATE_H_

#include <optional>

#include "base/time.h"
#include "decide/limits/rate_gate.h"
#include "model/revision.h"

namespace verbenalead::decide {

/// What a process's belief that a replica is cold rests on.
enum class ColdSource {
  /// Nobody said so: an evacuation has ended, or the replica has just started.
  kPresumed,
  kRow,     ///< The replica's row in the store.
  kAnswer,  ///< An answer of the replica itself.
};

/// How long one incarnation of a replica is cold, as one process knows it.
///
/// Load: many entries send calls to a replica that has just started or comes
/// back after an evacuation. Harm: a cold replica that gets more calls in a
/// second than it bears crashes, and its calls go to the next cold one. So its
/// calls are counted by the process that counts against rate limits.
struct ColdState {
  TimePoint m_until{};
  ColdSource m_source = ColdSource::kPresumed;
  /// Revision of the newest row that was considered; for a presumed state, the
  /// revision after which a row may say otherwise.
  model::Revision m_revision;
  /// When the source was read; the default: nothing is known.
  TimePoint m_observed_at{};
  /// The incarnation has been cold, even if it isn't now.
  bool m_was_cold = false;

  friend bool operator==(const ColdState&, const ColdState&) = default;
};

/// What the configuration and the settings say of cold replicas of a service:
/// in any second one takes `m_rate` * `m_overrun` + `m_slack` calls.
struct ColdLimits {
  /// Calls per second; 0: replicas of the service are never cold.
  double m_rate = 0;
  double m_overrun = 1;
  double m_slack = 0;

  friend bool operator==(const ColdLimits&, const ColdLimits&) = default;
};

/// Upper bound of a stated cold time; a longer one is taken for a mistake.
constexpr Duration kMaxColdTime = std::chrono::minutes(10);
constexpr double kMaxColdRate = 1e6;
/// Rows reach a process up to this long after they were written. A row that is
/// read sooner after an answer may have been written before it.
constexpr Duration kMaxRowDelay = 2s;
/// Ends of cold times that differ by less are the same: processes report what
/// they know to each other, and each transmission delays the end a little.
constexpr Duration kSameColdEnd = 250ms;

/// Whether the time, or the rate, may be used.
bool IsValidColdTime(Duration left);
bool IsValidColdRate(double rate);

inline bool IsCold(const ColdState& state, TimePoint now) {
  return state.m_until > now;
}

/// What a row, or an answer, says that was read at `now`: that the replica is
/// cold for `left`.
ColdState ColdByRow(Duration left, model::Revision revision, TimePoint now);
ColdState ColdByAnswer(Duration left, TimePoint now);
/// Presumed cold for `cold_start` until a row newer than `revision` says
/// otherwise.
ColdState PresumedCold(Duration cold_start,
                       model::Revision revision,
                       TimePoint now);

/// Takes over `report` if it is newer than what is known: a row of a newer
/// revision goes before an older one, an answer before what was read earlier.
/// Both are about the same incarnation. Returns true if the end of the cold
/// time has changed.
bool MergeCold(ColdState& known, const ColdState& report, TimePoint now);

/// The limit of a replica that states the rate limit `stated`: the lesser of it
/// and, while the replica is cold, of the cold rate.
///
/// Calls that were granted may be under way for up to 100 ms, so a second of
/// arrivals has the grants of 1.1 s. The bucket's size is what remains of the
/// calls of a second after the refill in this time. If nothing remains, the
/// rate is lowered so that the bucket holds one token.
GateLimit EffectiveLimit(std::optional<double> stated,
                         const ColdState& cold,
                         const ColdLimits& limits,
                         TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_LIMITS_COLD_STATE_H_
