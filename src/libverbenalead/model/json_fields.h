#ifndef VERBENALEAD_MODEL_JSON_FIELDS_H_
#define VERBENALEAD_MODEL_JSON_FIELDS_H_

#include <boost/json/value.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/failure.h"

namespace verbenalead::model {

/// Reads typed members out of JSON objects; each failure names the path of the
/// wrong field.
Result<boost::json::object> ParseObject(std::string_view text,
                                        const std::string& what);
Result<std::string> TextField(const boost::json::object& object,
                              std::string_view name);
Result<uint64_t> NumberField(const boost::json::object& object,
                             std::string_view name);
/// Absent or null reads as `fallback`; a wrong type still fails.
Result<std::string> TextFieldOr(const boost::json::object& object,
                                std::string_view name,
                                std::string fallback);
Result<uint64_t> NumberFieldOr(const boost::json::object& object,
                               std::string_view name,
                               uint64_t fallback);
Result<bool> FlagFieldOr(const boost::json::object& object,
                         std::string_view name,
                         bool fallback);

/// The failure for field `name`.
boost::leaf::error_id BadField(std::string_view name,
                               const std::string& allowed);

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_JSON_FIELDS_H_
