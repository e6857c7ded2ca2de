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

/// The value of one setting after checking.
using SettingValue =
    std::variant<bool, int64_t, double, std::string, std::vector<std::string>>;

/// Checked settings: every key of the schema has a value of its type and in
/// its range. Keys are dotted paths, e.g. "listen.callers".
class Settings {
 public:
  explicit Settings(std::map<std::string, SettingValue> values)
      : m_values(std::move(values)) {}

  bool Flag(const std::string& key) const;
  int64_t Integer(const std::string& key) const;
  double Number(const std::string& key) const;
  /// An integer setting that is declared in milliseconds.
  Duration Milliseconds(const std::string& key) const;
  const std::string& Text(const std::string& key) const;
  const std::vector<std::string>& TextList(const std::string& key) const;
  /// An address setting. Empty where the setting is the empty text.
  Endpoint Address(const std::string& key) const;
  std::vector<Endpoint> AddressList(const std::string& key) const;

  friend bool operator==(const Settings&, const Settings&) = default;

 private:
  std::map<std::string, SettingValue> m_values;
};

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_SETTINGS_H_
