#ifndef VERBENALEAD_TARGET_SUPPLY_TRACKER_H_
#define VERBENALEAD_TARGET_SUPPLY_TRACKER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "decide/transfer/origin_rate.h"

namespace verbenalead::target {

/// What this host knows of the versions at the origin beyond its own transfers:
/// the chunks that some host has fetched from there, the rate of the origin,
/// and the versions that were given up.
class SupplyTracker {
 public:
  /// Some host has fetched `chunks` of `version` from the origin. Also recorded
  /// for versions that this host does not fetch yet.
  void RecordOriginFetched(uint64_t version,
                           const std::vector<uint32_t>& chunks,
                           TimePoint now);
  const std::set<uint32_t>& OriginFetched(uint64_t version) const;
  /// See `decide::OriginInterval`.
  Duration OriginInterval(Duration configured) const {
    return decide::OriginInterval(m_rate, configured);
  }
  /// Returns false if `version` is given up already.
  bool GiveUp(uint64_t version);
  bool IsGivenUp(uint64_t version) const {
    return m_given_up.contains(version);
  }
  const std::set<uint64_t>& given_up() const { return m_given_up; }

 private:
  std::map<uint64_t, std::set<uint32_t>> m_origin_fetched;
  decide::OriginRate m_rate;
  std::set<uint64_t> m_given_up;
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_SUPPLY_TRACKER_H_
