#ifndef VERBENALEAD_PLATFORM_JSON_READ_H_
#define VERBENALEAD_PLATFORM_JSON_READ_H_

#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace verbenalead::platform {

// Readers for JSON that other programs wrote and that may have any shape. They
// return nothing if a member is missing or has another type; the caller decides
// whether that is an error or means a default.

std::optional<boost::json::object> ReadObject(std::string_view text);
std::optional<std::string> ReadText(const boost::json::object& object,
                                    std::string_view name);
std::optional<double> ReadNumber(const boost::json::object& object,
                                 std::string_view name);
/// Reads a non-negative whole number of at most 9e15.
std::optional<uint64_t> ReadCount(const boost::json::object& object,
                                  std::string_view name);
std::optional<bool> ReadFlag(const boost::json::object& object,
                             std::string_view name);
/// Reads a number of milliseconds, which may have a fraction.
std::optional<Duration> ReadMilliseconds(const boost::json::object& object,
                                         std::string_view name);
/// Returns null if there is no such list.
const boost::json::array* ReadList(const boost::json::object& object,
                                   std::string_view name);

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_JSON_READ_H_
