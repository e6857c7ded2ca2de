#ifndef VERBENALEAD_BASE_SETTINGS_SCHEMA_H_
#define VERBENALEAD_BASE_SETTINGS_SCHEMA_H_

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "base/settings.h"

namespace verbenalead {

enum class SettingType {
  kFlag,
  kInteger,
  kNumber,
  kText,
  kTextList,
  kAddress,
  kAddressList
};

/// The declaration of one setting: its type, default, range and description.
struct SettingKey {
  std::string m_path;
  SettingType m_type = SettingType::kText;
  SettingValue m_default;
  bool m_required = false;
  int64_t m_min = std::numeric_limits<int64_t>::min();
  int64_t m_max = std::numeric_limits<int64_t>::max();
  std::string m_unit;
  std::string m_help;
  std::vector<std::string> m_choices;
};

/// Declares the settings of one program and validates a JSON document against
/// them.
///
///     const auto schema = SettingsSchema()
///         .Address("listen.callers", "127.0.0.1:8080", "callers' HTTP")
///         .Integer("limits.body", 1 << 20, 1, 1 << 26, "bytes",
///                  "largest body");
///     auto settings = schema.Parse(text);
class SettingsSchema {
 public:
  SettingsSchema& Flag(std::string path, bool fallback, std::string help);
  SettingsSchema& Integer(std::string path,
                          int64_t fallback,
                          int64_t min,
                          int64_t max,
                          std::string unit,
                          std::string help);
  /// A non-negative floating-point number.
  SettingsSchema& Number(std::string path,
                         double fallback,
                         std::string unit,
                         std::string help);
  SettingsSchema& Text(std::string path,
                       std::string fallback,
                       std::string help);
  /// A text setting that must be present and has no default.
  SettingsSchema& RequiredText(std::string path, std::string help);
  /// A text setting that must be one of `choices`; the first is the default.
  SettingsSchema& Choice(std::string path,
                         std::vector<std::string> choices,
                         std::string help);
  SettingsSchema& TextList(std::string path, std::string help);
  /// An "IP:port" setting; the empty text means "not set".
  SettingsSchema& Address(std::string path,
                          std::string fallback,
                          std::string help);
  SettingsSchema& AddressList(std::string path, std::string help);

  /// Validates `json`. Fails with kInvalid; the reason names the path of the
  /// first invalid key, its value and the allowed values.
  Result<Settings> Parse(std::string_view json) const;
  /// Reads and validates the file at `path`.
  Result<Settings> Load(const std::string& path) const;

  /// Returns a human-readable table, one line per setting: path, default,
  /// description and allowed values.
  std::string Describe() const;
  const std::vector<SettingKey>& keys() const { return m_keys; }

 private:
  std::vector<SettingKey> m_keys;
};

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_SETTINGS_SCHEMA_H_
