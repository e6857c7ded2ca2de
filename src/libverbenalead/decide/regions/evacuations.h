#ifndef VERBENALEAD_DECIDE_REGIONS_EVACUATIONS_H_
#define VERBENALEAD_DECIDE_REGIONS_EVACUATIONS_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "model/revision.h"

namespace verbenalead::decide {

/// What is known of the evacuation of one data centre.
struct Evacuation {
  /// Revision of the newest row, or of its removal.
  model::Revision m_revision;
  bool m_active = false;
  /// When an evacuation that this process knew ended.
  std::optional<TimePoint> m_ended_at;

  friend bool operator==(const Evacuation&, const Evacuation&) = default;
};

/// Which data centres the operator has evacuated: their replicas get no new
/// calls. An evacuation begins with a row in the store and ends when the row is
/// removed.
///
/// Failure: the store comes back from a copy that lacks the row, or rows arrive
/// in another order from different sources. Symptom: calls go to the replicas
/// of an evacuated data centre, or never return after the end. So rows and
/// removals are ordered by revision, and a missing row counts as a removal only
/// in the era in which the row was written, or once the operator has had the
/// time to write it again.
struct Evacuations {
  /// By data centre.
  std::map<std::string, Evacuation> m_data_centers;

  friend bool operator==(const Evacuations&, const Evacuations&) = default;
};

/// The effect of a row on an evacuation.
enum class EvacuationChange {
  kOutdated,  ///< The same or something newer was known.
  kNone,      ///< The row is newer and states the same.
  kBegun,
  kEnded,
};

/// Applies the row of `data_center`, or its removal.
EvacuationChange ApplyEvacuationRow(Evacuations& evacuations,
                                    const std::string& data_center,
                                    model::Revision revision,
                                    bool removed,
                                    TimePoint now);

/// Applies a table that was whole at `revision` and holds rows of the data
/// centres `present`: evacuations whose row was removed in the same era end.
/// Returns their data centres.
std::vector<std::string> EndAbsentEvacuations(
    Evacuations& evacuations,
    const std::set<std::string>& present,
    model::Revision revision,
    TimePoint now);

/// Ends evacuations whose row was last seen before `era`, and returns their
/// data centres. Must be called only after the operator has had the time to
/// write lost rows again and this process knows the whole table since then.
std::vector<std::string> EndEvacuationsBeforeEra(Evacuations& evacuations,
                                                 uint64_t era,
                                                 TimePoint now);

/// The data centres that are evacuated.
std::set<std::string> EvacuatedDataCenters(const Evacuations& evacuations);

/// When the last evacuation of `data_center` ended; nothing if one is active or
/// this process has known none.
std::optional<TimePoint> EvacuationEndedAt(const Evacuations& evacuations,
                                           const std::string& data_center);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_REGIONS_EVACUATIONS_H_
