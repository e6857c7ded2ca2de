#include "links/crash_report_codec.h"

#include <boost/json.hpp>
#include <cstdlib>
#include <string>

#include "model/json_fields.h"

namespace verbenalead::links {
namespace {

namespace json = boost::json;
using Kind = decide::CrashReport::Kind;

constexpr char kReports[] = "causes";
/// Members of a report: kind, part, incarnation, request, head, age in ms. Keys
/// are texts, since JSON numbers lose digits above 53 bits.
constexpr size_t kMembers = 6;
constexpr int64_t kLastKind = static_cast<int64_t>(Kind::kBlocked);

std::optional<AgedCrashReport> DecodeReport(const json::value& value) {
  if (!value.is_array() || value.as_array().size() != kMembers)
    return std::nullopt;
  const json::array& members = value.as_array();
  const bool types = members[0].is_int64() && members[1].is_string() &&
                     members[2].is_string() && members[3].is_string() &&
                     members[4].is_bool() && members[5].is_int64();
  if (!types || members[0].as_int64() < 0 ||
      members[0].as_int64() > kLastKind || members[5].as_int64() < 0)
    return std::nullopt;
  AgedCrashReport report;
  report.m_report.m_kind = static_cast<Kind>(members[0].as_int64());
  report.m_report.m_part =
      std::strtoull(members[1].as_string().c_str(), nullptr, 16);
  report.m_report.m_incarnation = members[2].as_string().c_str();
  report.m_report.m_request =
      std::strtoull(members[3].as_string().c_str(), nullptr, 16);
  report.m_report.m_had_head = members[4].as_bool();
  report.m_age = std::chrono::milliseconds(members[5].as_int64());
  return report;
}

std::string ToHex(uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%llx",
                static_cast<unsigned long long>(number));
  return text;
}

}  // namespace

void EncodeCrashReports(json::object& object,
                        const std::vector<AgedCrashReport>& reports) {
  if (reports.empty())
    return;
  json::array list;
  for (const AgedCrashReport& item : reports) {
    const decide::CrashReport& report = item.m_report;
    list.push_back(json::array{static_cast<int64_t>(report.m_kind),
                               ToHex(report.m_part), report.m_incarnation,
                               ToHex(report.m_request), report.m_had_head,
                               ToMilliseconds(item.m_age)});
  }
  object[kReports] = std::move(list);
}

Result<std::vector<AgedCrashReport>> DecodeCrashReports(
    const json::object& object) {
  std::vector<AgedCrashReport> reports;
  const json::value* value = object.if_contains(kReports);
  if (!value)
    return reports;
  if (!value->is_array())
    return model::BadField(kReports, "a list");
  for (const json::value& item : value->as_array()) {
    auto report = DecodeReport(item);
    if (!report)
      return model::BadField(kReports, "reports of six members");
    reports.push_back(std::move(*report));
  }
  return reports;
}

}  // namespace verbenalead::links
