#ifndef VERBENALEAD_PLATFORM_JSON_READ_H_
#define VERBENALEAD_PLATFORM_JSON_READ_H_

#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace verbenalead::platform {

// What other writers left may have any shape. These return nothing where a
// member is missing or has another type; whoever asks says what that means.

std::optional<boost::json::object> ReadObject(std::string_view text);
std::optional<std::string> ReadText(const boost::json::object& object,
                                    std::string_view name);
std::optional<double> ReadNumber(const boost::json::object& object,
                                 std::string_view name);
/// A whole number that isn't negative.
std::optional<uint64_t> ReadCount(const boost::json::object& object,
                                  std::string_view name);
std::optional<bool> ReadFlag(const boost::json::object& object,
                             std::string_view name);
/// A number of milliseconds.
std::optional<Duration> ReadMilliseconds(const boost::json::object& object,
                                         std::string_view name);
/// Null where there is no such list.
const boost::json::array* ReadList(const boost::json::object& object,
                                   std::string_view name);

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_JSON_READ_H_
