#ifndef VERBENALEAD_MODEL_JSON_FIELDS_H_
#define VERBENALEAD_MODEL_JSON_FIELDS_H_

#include <boost/json/value.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/failure.h"

namespace verbenalead::model {

/// Functions that read typed members of JSON objects. Each failure names the
/// invalid field. ParseObject parses `text`, which must be one JSON object;
/// `what` names the document in the failure.
Result<boost::json::object> ParseObject(std::string_view text,
                                        const std::string& what);
Result<std::string> TextField(const boost::json::object& object,
                              std::string_view name);
Result<uint64_t> NumberField(const boost::json::object& object,
                             std::string_view name);
/// The ...Or functions return `fallback` if the member is absent or null. A
/// member of another type is still a failure.
Result<std::string> TextFieldOr(const boost::json::object& object,
                                std::string_view name,
                                std::string fallback);
Result<uint64_t> NumberFieldOr(const boost::json::object& object,
                               std::string_view name,
                               uint64_t fallback);
Result<bool> FlagFieldOr(const boost::json::object& object,
                         std::string_view name,
                         bool fallback);

/// Returns the failure for an invalid field `name`; `allowed` describes the
/// valid values.
boost::leaf::error_id BadField(std::string_view name,
                               const std::string& allowed);

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_JSON_FIELDS_H_
