#ifndef VERBENALEAD_DECIDE_PLACE_H_
#define VERBENALEAD_DECIDE_PLACE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/digest.h"
#include "base/endpoint.h"
#include "base/time.h"
#include "model/call.h"
#include "model/target_report.h"

namespace verbenalead::decide {

/// A target as this entry sees it.
struct TargetView {
  model::TargetReport m_report;
  TimePoint m_reported_at{};
  /// Attempts of this entry that are under way there: known at once, where the
  /// report lags.
  uint32_t m_in_flight = 0;
  /// Nothing is sent there until then, after failures.
  TimePoint m_shunned_until{};
};

/// The targets of one pool.
struct PlaceState {
  std::map<std::string, TargetView> m_targets;
};

struct Placement {
  std::string m_target;
  Endpoint m_peer;
  uint64_t m_incarnation = 0;
  Digest m_digest;
  std::string m_version;
  /// Why this one, for the log.
  std::string m_reason;
};

/// A report older than this no longer counts as a sign of life.
constexpr Duration kReportStale = 3s;
/// How long a target is left alone after an attempt there broke.
constexpr Duration kShun = 1s;

/// Takes in a report. One of an older incarnation than the known one is
/// dropped, and `leaving` never reverts within an incarnation.
void Report(PlaceState& state,
            const model::TargetReport& report,
            TimePoint now);
void RemoveTarget(PlaceState& state, const std::string& name);

/// The target for `call`, or nullopt if none can take it now. Targets in
/// `tried` are left out.
std::optional<Placement> Place(const PlaceState& state,
                               const model::Call& call,
                               const std::set<std::string>& tried,
                               TimePoint now);

/// An attempt has been sent to or has ended at `target`.
void AttemptSent(PlaceState& state, const std::string& target);
void AttemptEnded(PlaceState& state,
                  const std::string& target,
                  bool broken,
                  TimePoint now);

/// Attempts that the usable targets can run at once.
uint32_t UsableCapacity(const PlaceState& state, TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_PLACE_H_
