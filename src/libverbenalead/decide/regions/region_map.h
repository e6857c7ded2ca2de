#ifndef VERBENALEAD_DECIDE_REGIONS_REGION_MAP_H_
#define VERBENALEAD_DECIDE_REGIONS_REGION_MAP_H_

#include <map>
#include <string>

namespace verbenalead::decide {

/// Region of each data centre.
using RegionMap = std::map<std::string, std::string>;

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_REGIONS_REGION_MAP_H_
