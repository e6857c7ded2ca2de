#include "base/settings_schema.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <fstream>
#include <map>
#include <sstream>

namespace verbenalead {
namespace {

namespace json = boost::json;

boost::leaf::error_id BadSetting(const std::string& path,
                                 const std::string& found,
                                 const std::string& allowed) {
  return boost::leaf::new_error(
      Failure{FailureCode::kInvalid, "check settings", "",
              path + " is " + found + "; allowed: " + allowed});
}

/// Flattens nested objects into a map keyed by dotted paths.
void Flatten(const json::object& object,
             const std::string& prefix,
             std::map<std::string, json::value>& out) {
  for (const auto& member : object) {
    std::string path = prefix + std::string(member.key());
    if (member.value().is_object() && !member.value().get_object().empty())
      Flatten(member.value().get_object(), path + ".", out);
    else
      out[path] = member.value();
  }
}

const char* TypeName(SettingType type) {
  switch (type) {
    case SettingType::kFlag:
      return "true or false";
    case SettingType::kInteger:
      return "integer";
    case SettingType::kNumber:
      return "number";
    case SettingType::kText:
      return "text";
    case SettingType::kTextList:
      return "list of texts";
    case SettingType::kAddress:
      return "IP:port";
    case SettingType::kAddressList:
      return "list of IP:port";
  }
  return "";
}

std::string Allowed(const SettingKey& key) {
  if (key.m_type == SettingType::kInteger) {
    return fmt::format("integer from {} to {} {}", key.m_min, key.m_max,
                       key.m_unit);
  }
  if (key.m_type == SettingType::kNumber)
    return fmt::format("number from 0 on {}", key.m_unit);
  if (!key.m_choices.empty())
    return fmt::format("one of {}", fmt::join(key.m_choices, ", "));
  return TypeName(key.m_type);
}

/// Whether `path` names a group of keys, such as "listen".
bool IsGroup(const std::vector<SettingKey>& keys, const std::string& path) {
  return std::any_of(keys.begin(), keys.end(), [&](const SettingKey& key) {
    return key.m_path.starts_with(path + ".");
  });
}

bool IsAddress(const std::string& text) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(ParseEndpoint(text));
        return true;
      },
      [] { return false; });
}

Result<SettingValue> CheckText(const SettingKey& key,
                               const json::value& value,
                               const std::string& json_text) {
  if (!value.is_string())
    return BadSetting(key.m_path, json_text, Allowed(key));
  std::string text(value.get_string());
  if (!key.m_choices.empty() &&
      std::find(key.m_choices.begin(), key.m_choices.end(), text) ==
          key.m_choices.end())
    return BadSetting(key.m_path, json_text, Allowed(key));
  if (key.m_type == SettingType::kAddress && !text.empty() && !IsAddress(text))
    return BadSetting(key.m_path, json_text, Allowed(key));
  return SettingValue(std::move(text));
}

Result<SettingValue> CheckList(const SettingKey& key,
                               const json::value& value,
                               const std::string& json_text) {
  if (!value.is_array())
    return BadSetting(key.m_path, json_text, Allowed(key));
  std::vector<std::string> list;
  for (const json::value& element : value.get_array()) {
    const bool valid =
        element.is_string() && (key.m_type != SettingType::kAddressList ||
                                IsAddress(std::string(element.get_string())));
    if (!valid)
      return BadSetting(key.m_path, json_text, Allowed(key));
    list.emplace_back(element.get_string());
  }
  return SettingValue(std::move(list));
}

Result<SettingValue> Check(const SettingKey& key, const json::value& value) {
  const std::string json_text = json::serialize(value);
  switch (key.m_type) {
    case SettingType::kFlag:
      if (!value.is_bool())
        return BadSetting(key.m_path, json_text, Allowed(key));
      return SettingValue(value.get_bool());
    case SettingType::kInteger: {
      if (!value.is_int64() || value.get_int64() < key.m_min ||
          value.get_int64() > key.m_max)
        return BadSetting(key.m_path, json_text, Allowed(key));
      return SettingValue(value.get_int64());
    }
    case SettingType::kNumber:
      if (!value.is_number() || value.to_number<double>() < 0)
        return BadSetting(key.m_path, json_text, Allowed(key));
      return SettingValue(value.to_number<double>());
    case SettingType::kText:
    case SettingType::kAddress:
      return CheckText(key, value, json_text);
    case SettingType::kTextList:
    case SettingType::kAddressList:
      return CheckList(key, value, json_text);
  }
  return BadSetting(key.m_path, json_text, Allowed(key));
}

std::string FormatDefault(const SettingKey& key) {
  if (key.m_required)
    return "(required)";
  if (const bool* flag = std::get_if<bool>(&key.m_default))
    return *flag ? "true" : "false";
  if (const int64_t* number = std::get_if<int64_t>(&key.m_default))
    return std::to_string(*number);
  if (const double* number = std::get_if<double>(&key.m_default))
    return fmt::format("{}", *number);
  if (const auto* text = std::get_if<std::string>(&key.m_default))
    return "\"" + *text + "\"";
  return "[]";
}

}  // namespace

SettingsSchema& SettingsSchema::Flag(std::string path,
                                     bool fallback,
                                     std::string help) {
  SettingKey key{std::move(path), SettingType::kFlag, fallback};
  key.m_help = std::move(help);
  m_keys.push_back(std::move(key));
  return *this;
}

SettingsSchema& SettingsSchema::Integer(std::string path,
                                        int64_t fallback,
                                        int64_t min,
                                        int64_t max,
                                        std::string unit,
                                        std::string help) {
  SettingKey key{
      std::move(path), SettingType::kInteger, fallback, false, min, max};
  key.m_unit = std::move(unit);
  key.m_help = std::move(help);
  m_keys.push_back(std::move(key));
  return *this;
}

SettingsSchema& SettingsSchema::Number(std::string path,
                                       double fallback,
                                       std::string unit,
                                       std::string help) {
  SettingKey key{std::move(path), SettingType::kNumber, fallback};
  key.m_unit = std::move(unit);
  key.m_help = std::move(help);
  m_keys.push_back(std::move(key));
  return *this;
}

SettingsSchema& SettingsSchema::Text(std::string path,
                                     std::string fallback,
                                     std::string help) {
  SettingKey key{std::move(path), SettingType::kText, std::move(fallback)};
  key.m_help = std::move(help);
  m_keys.push_back(std::move(key));
  return *this;
}

SettingsSchema& SettingsSchema::RequiredText(std::string path,
                                             std::string help) {
  Text(std::move(path), "", std::move(help));
  m_keys.back().m_required = true;
  return *this;
}

SettingsSchema& SettingsSchema::Choice(std::string path,
                                       std::vector<std::string> choices,
                                       std::string help) {
  Text(std::move(path), choices.front(), std::move(help));
  m_keys.back().m_choices = std::move(choices);
  return *this;
}

SettingsSchema& SettingsSchema::TextList(std::string path, std::string help) {
  SettingKey key{std::move(path), SettingType::kTextList,
                 std::vector<std::string>()};
  key.m_help = std::move(help);
  m_keys.push_back(std::move(key));
  return *this;
}

SettingsSchema& SettingsSchema::Address(std::string path,
                                        std::string fallback,
                                        std::string help) {
  Text(std::move(path), std::move(fallback), std::move(help));
  m_keys.back().m_type = SettingType::kAddress;
  return *this;
}

SettingsSchema& SettingsSchema::AddressList(std::string path,
                                            std::string help) {
  TextList(std::move(path), std::move(help));
  m_keys.back().m_type = SettingType::kAddressList;
  return *this;
}

Result<Settings> SettingsSchema::Parse(std::string_view text) const {
  boost::system::error_code bad_json;
  json::value document = json::parse(text, bad_json);
  if (bad_json || !document.is_object())
    return BadSetting("the document", "not valid", "one JSON object");
  std::map<std::string, json::value> given;
  Flatten(document.get_object(), "", given);
  std::map<std::string, SettingValue> values;
  for (const SettingKey& key : m_keys) {
    auto found = given.find(key.m_path);
    if (found == given.end()) {
      if (key.m_required)
        return BadSetting(key.m_path, "missing", Allowed(key));
      values[key.m_path] = key.m_default;
      continue;
    }
    BOOST_LEAF_AUTO(value, Check(key, found->second));
    values[key.m_path] = std::move(value);
    given.erase(found);
  }
  std::erase_if(given, [&](const auto& remaining) {
    return remaining.second.is_object() && IsGroup(m_keys, remaining.first);
  });
  if (!given.empty())
    return BadSetting(given.begin()->first, "unknown", "a documented key");
  return Settings(std::move(values));
}

Result<Settings> SettingsSchema::Load(const std::string& path) const {
  std::ifstream file(path);
  if (!file) {
    return boost::leaf::new_error(Failure{FailureCode::kNotFound,
                                          "read settings", "",
                                          path + " can't be opened"});
  }
  std::stringstream text;
  text << file.rdbuf();
  return Parse(text.str());
}

std::string SettingsSchema::Describe() const {
  std::string out;
  for (const SettingKey& key : m_keys) {
    out += fmt::format("{:<32} {:<12} {}; allowed: {}\n", key.m_path,
                       FormatDefault(key), key.m_help, Allowed(key));
  }
  return out;
}

}  // namespace verbenalead
