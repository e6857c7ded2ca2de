#ifndef VERBENALEAD_LINKS_EVACUATION_CODEC_H_
#define VERBENALEAD_LINKS_EVACUATION_CODEC_H_

#include <boost/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "base/failure.h"
#include "links/evacuation_report.h"

namespace verbenalead::links {

/// Adds the reports to a message; adds nothing if there are none.
void EncodeEvacuations(boost::json::object& object,
                       const std::vector<EvacuationReport>& reports);

/// Fails with kInvalid.
Result<std::vector<EvacuationReport>> DecodeEvacuations(
    const boost::json::object& object);

/// The names of evacuated data centres; no field if there are none.
void EncodeEvacuatedDataCenters(boost::json::object& object,
                                const std::set<std::string>& data_centers);
Result<std::set<std::string>> DecodeEvacuatedDataCenters(
    const boost::json::object& object);

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_EVACUATION_CODEC_H_
