#ifndef VERBENALEAD_LINKS_SUMMARY_CODEC_H_
#define VERBENALEAD_LINKS_SUMMARY_CODEC_H_

#include <boost/json/object.hpp>

#include "base/failure.h"
#include "links/data_center_summary.h"

namespace verbenalead::links {

/// Encodes a summary as JSON fields. Entries and replicas are encoded as arrays
/// without field names, because they make up most of the summary's size.
boost::json::object EncodeSummary(const DataCenterSummary& summary);
/// Fails with kInvalid on an object that EncodeSummary can't have written.
Result<DataCenterSummary> DecodeSummary(const boost::json::object& object);

/// The crash records that entries exchange, as a JSON array.
boost::json::array EncodeCrashes(
    const std::vector<decide::CrashRecord>& crashes);
Result<std::vector<decide::CrashRecord>> DecodeCrashes(
    const boost::json::object& object);

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_SUMMARY_CODEC_H_
