#ifndef VERBENALEAD_DECIDE_REGIONS_ALLOWED_DATA_CENTERS_H_
#define VERBENALEAD_DECIDE_REGIONS_ALLOWED_DATA_CENTERS_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "decide/config/route_table.h"
#include "decide/regions/region_map.h"

namespace verbenalead::decide {

/// The data centres whose replicas may get a call, from the regions that its
/// route and its organisation name; null: all data centres.
///
/// Load: demand exceeds the capacity of the regions in which a call may be
/// served. Harm: placement by load alone would send it to a region in which it
/// must not be served. Where both name regions, both bind. A region that no
/// data centre has contributes none, so the set may be empty, and then no
/// replica may get the call.
std::shared_ptr<const std::set<std::string>> AllowedDataCenters(
    const std::vector<std::string>& route_regions,
    const std::vector<std::string>& organisation_regions,
    const RegionMap& regions);

/// The regions to which all callers of `host` may send their calls, whatever
/// their route and organisation; absent: no route of the host and no
/// organisation that calls it names regions.
std::optional<std::set<std::string>> RegionsForCallers(const RouteTable& routes,
                                                       const std::string& host);

/// The regions that `config` names and that no data centre has.
std::set<std::string> UnknownRegions(const model::RoutingConfig& config,
                                     const RegionMap& regions);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_REGIONS_ALLOWED_DATA_CENTERS_H_
