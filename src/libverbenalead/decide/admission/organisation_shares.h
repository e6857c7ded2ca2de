#ifndef VERBENALEAD_DECIDE_ADMISSION_ORGANISATION_SHARES_H_
#define VERBENALEAD_DECIDE_ADMISSION_ORGANISATION_SHARES_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/time.h"

namespace verbenalead::decide {

/// Start-time fair queueing by organisation within a rank.
///
/// Load: one organisation asks for more than the whole capacity, others for
/// less than their equal share. Harm: in the order of their deadlines the large
/// organisation gets slots in proportion to what it sends, so the small ones
/// are refused for its excess. So the organisation that has had the least of
/// the replica's time goes first. Time that an organisation doesn't use is lent
/// to the others; one that was idle is at most a second behind them.
struct OrganisationShares {
  /// Rank and organisation.
  using Key = std::pair<int, std::string>;

  /// Replica seconds that each has been given, as virtual time. One that has
  /// been idle is left out, and begins at the current virtual time of its rank.
  std::map<Key, double> m_times;
  /// Latest virtual time at which a call of each rank was granted.
  std::map<int, double> m_now;
};

/// Limit of organisations with a virtual time of their own; all others share
/// one.
constexpr size_t kMaxShares = 256;

/// Virtual time at which a call of the organisation is ordered, smallest first.
/// Zero for calls without an organisation to account for.
double VirtualTime(const OrganisationShares& shares,
                   int rank,
                   const std::optional<std::string>& organisation);

/// Whether the organisation's virtual time is later than that of its rank, and
/// another organisation of the rank has a virtual time of its own.
bool IsAhead(const OrganisationShares& shares,
             int rank,
             const std::optional<std::string>& organisation);

/// Charges a granted call that takes `cost` of the replica's time.
void ChargeCall(OrganisationShares& shares,
                int rank,
                const std::optional<std::string>& organisation,
                Duration cost);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ADMISSION_ORGANISATION_SHARES_H_
