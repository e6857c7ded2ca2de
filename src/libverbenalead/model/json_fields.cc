#include "model/json_fields.h"

#include <boost/json.hpp>

namespace verbenalead::model {

namespace json = boost::json;

boost::leaf::error_id BadField(std::string_view name,
                               const std::string& allowed) {
  return boost::leaf::new_error(
      Failure{FailureCode::kInvalid, "read JSON", "",
              "field '" + std::string(name) + "' must be " + allowed});
}

Result<json::object> ParseObject(std::string_view text,
                                 const std::string& what) {
  boost::system::error_code error;
  json::value value = json::parse(text, error);
  if (error || !value.is_object()) {
    return boost::leaf::new_error(
        Failure{FailureCode::kInvalid, "read " + what, "",
                error ? error.message() : "must be one JSON object"});
  }
  return std::move(value.get_object());
}

Result<std::string> TextField(const json::object& object,
                              std::string_view name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_string())
    return BadField(name, "a text");
  return std::string(value->get_string());
}

Result<uint64_t> NumberField(const json::object& object,
                             std::string_view name) {
  const json::value* value = object.if_contains(name);
  if (value != nullptr && value->is_uint64())
    return value->get_uint64();
  if (value == nullptr || !value->is_int64() || value->get_int64() < 0)
    return BadField(name, "a whole number of at least 0");
  return static_cast<uint64_t>(value->get_int64());
}

namespace {

bool IsAbsent(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value == nullptr || value->is_null();
}

}  // namespace

Result<std::string> TextFieldOr(const json::object& object,
                                std::string_view name,
                                std::string fallback) {
  if (IsAbsent(object, name))
    return fallback;
  return TextField(object, name);
}

Result<uint64_t> NumberFieldOr(const json::object& object,
                               std::string_view name,
                               uint64_t fallback) {
  if (IsAbsent(object, name))
    return fallback;
  return NumberField(object, name);
}

Result<bool> FlagFieldOr(const json::object& object,
                         std::string_view name,
                         bool fallback) {
  if (IsAbsent(object, name))
    return fallback;
  const json::value* value = object.if_contains(name);
  if (!value->is_bool())
    return BadField(name, "true or false");
  return value->get_bool();
}

}  // namespace verbenalead::model
