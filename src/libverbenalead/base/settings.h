#ifndef VERBENALEAD_BASE_SETTINGS_H_
#define VERBENALEAD_BASE_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "base/endpoint.h"
#include "base/failure.h"
#include "base/time.h"

namespace verbenalead {

/// The validated value of one setting.
using SettingValue =
    std::variant<bool, int64_t, double, std::string, std::vector<std::string>>;

/// Validated settings: each key of the schema has a value of its declared type
/// and within its range. Keys are dotted paths, e.g. "listen.callers".
/// Accessors throw if the schema has no such key or it has another type.
class Settings {
 public:
  explicit Settings(std::map<std::string, SettingValue> values)
      : m_values(std::move(values)) {}

  bool Flag(const std::string& key) const;
  int64_t Integer(const std::string& key) const;
  double Number(const std::string& key) const;
  /// Returns an integer setting whose unit is milliseconds.
  Duration Milliseconds(const std::string& key) const;
  const std::string& Text(const std::string& key) const;
  const std::vector<std::string>& TextList(const std::string& key) const;
  /// Returns an address setting, or an empty Endpoint if the setting is "".
  Endpoint Address(const std::string& key) const;
  std::vector<Endpoint> AddressList(const std::string& key) const;

  friend bool operator==(const Settings&, const Settings&) = default;

 private:
  std::map<std::string, SettingValue> m_values;
};

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_SETTINGS_H_
