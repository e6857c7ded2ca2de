#include "platform/json_read.h"

#include <boost/json.hpp>
#include <cmath>

namespace verbenalead::platform {
namespace json = boost::json;

std::optional<json::object> ReadObject(std::string_view text) {
  boost::system::error_code error;
  json::value value = json::parse(text, error);
  if (error || !value.is_object())
    return std::nullopt;
  return std::move(value.as_object());
}

std::optional<std::string> ReadText(const json::object& object,
                                    std::string_view name) {
  const json::value* value = object.if_contains(name);
  if (!value || !value->is_string())
    return std::nullopt;
  return std::string(value->as_string());
}

std::optional<double> ReadNumber(const json::object& object,
                                 std::string_view name) {
  const json::value* value = object.if_contains(name);
  if (!value || !value->is_number())
    return std::nullopt;
  return value->to_number<double>();
}

std::optional<uint64_t> ReadCount(const json::object& object,
                                  std::string_view name) {
  constexpr double kLargest = 9e15;  // A double holds all smaller integers.
  const auto number = ReadNumber(object, name);
  if (!number || *number < 0 || *number > kLargest ||
      *number != std::floor(*number))
    return std::nullopt;
  return static_cast<uint64_t>(*number);
}

std::optional<bool> ReadFlag(const json::object& object,
                             std::string_view name) {
  const json::value* value = object.if_contains(name);
  if (!value || !value->is_bool())
    return std::nullopt;
  return value->as_bool();
}

std::optional<Duration> ReadMilliseconds(const json::object& object,
                                         std::string_view name) {
  // More than a century, and well within the range of Duration. Larger numbers
  // would overflow the conversion below.
  constexpr double kLargest = 4e12;
  const auto number = ReadNumber(object, name);
  if (!number || !(std::abs(*number) <= kLargest))
    return std::nullopt;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(*number));
}

const json::array* ReadList(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value ? value->if_array() : nullptr;
}

}  // namespace verbenalead::platform
