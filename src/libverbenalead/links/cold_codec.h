#ifndef VERBENALEAD_LINKS_COLD_CODEC_H_
#define VERBENALEAD_LINKS_COLD_CODEC_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>

#include "base/failure.h"
#include "links/cold_report.h"

namespace verbenalead::links {

/// JSON form of a report about a cold replica: a list of the time left in ms,
/// the source, the era and number of the revision, and the age in ms. Left out
/// if there is none.
void EncodeCold(boost::json::object& object,
                const std::optional<ColdReport>& report);
Result<std::optional<ColdReport>> DecodeCold(const boost::json::object& object);

/// The start of an incarnation in Unix milliseconds; left out if it is 0.
void EncodeStart(boost::json::object& object, uint64_t started_ms);
Result<uint64_t> DecodeStart(const boost::json::object& object);

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_COLD_CODEC_H_
