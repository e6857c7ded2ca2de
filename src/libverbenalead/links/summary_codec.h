#ifndef VERBENALEAD_LINKS_SUMMARY_CODEC_H_
#define VERBENALEAD_LINKS_SUMMARY_CODEC_H_

#include <boost/json/object.hpp>

#include "base/failure.h"
#include "links/data_center_summary.h"

namespace verbenalead::links {

/// The fields of a summary. Entries and replicas are lists without names, as
/// they are what its size comes from.
boost::json::object EncodeSummary(const DataCenterSummary& summary);
/// Fails with kInvalid on what EncodeSummary didn't write.
Result<DataCenterSummary> DecodeSummary(const boost::json::object& object);

/// Crash notes as entries tell them to each other.
boost::json::array EncodeCrashes(const std::vector<decide::CrashNote>& crashes);
Result<std::vector<decide::CrashNote>> DecodeCrashes(
    const boost::json::object& object);

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_SUMMARY_CODEC_H_
