#ifndef VERBENALEAD_DECIDE_TRANSFER_VERSION_CHOICE_H_
#define VERBENALEAD_DECIDE_TRANSFER_VERSION_CHOICE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "decide/transfer/given_up_version.h"
#include "decide/transfer/version_supply.h"
#include "decide/transfer/version_times.h"

namespace verbenalead::decide {

/// Which declared versions are fetched, and which are no longer fetched.
struct VersionChoice {
  /// In the order in which they are fetched.
  std::vector<uint64_t> m_fetch_order;
  /// Newly given up by this choice.
  std::vector<GivenUpVersion> m_given_up;

  friend bool operator==(const VersionChoice&, const VersionChoice&) = default;
};

/// Chooses between declared versions that no replica has loaded; `versions` has
/// all of them, also those that were given up, since they become binding too.
///
/// Load: versions are declared within seconds of each other, and the origin is
/// unavailable in between. Harm: the origin sends parts of each, no version is
/// complete when the first one becomes binding, and no replica may take calls.
///
/// The newest version with digests is always fetched. An older one is fetched
/// before it, if that is worth its cost: the time without usable weights, from
/// the time at which a version becomes binding until it or a newer one is
/// loaded, and a cost for each additional load. An older version that lacks
/// only few chunks is finished in any case, since the origin may become
/// unavailable again.
///
/// A version that is given up is never fetched again. Therefore one is given up
/// for its cost only while the origin answers, so that the remaining time is
/// known, and only if the gain exceeds the error of the estimate.
VersionChoice ChooseVersions(const std::map<uint64_t, VersionSupply>& versions,
                             const VersionTimes& times,
                             bool origin_answers,
                             TimePoint now);

/// Whether the transfer of `in_progress` (0: there is none) goes on before any
/// other one begins. `next` is the first version of the fetch order that isn't
/// complete; absent if all are.
///
/// Failure: without a transfer and with all versions of the order complete, a
/// host takes this for a transfer to finish. Symptom: it doesn't obtain the
/// digests of a version that was declared since, which can't be in the order
/// without them, until it has loaded the older one.
inline bool ContinuesTransfer(uint64_t in_progress,
                              std::optional<uint64_t> next) {
  return in_progress != 0 && next == in_progress;
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_VERSION_CHOICE_H_
