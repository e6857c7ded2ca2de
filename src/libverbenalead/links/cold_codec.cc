#include "links/cold_codec.h"

#include <array>
#include <boost/json.hpp>

#include "model/json_fields.h"

namespace verbenalead::links {
namespace {

namespace json = boost::json;

constexpr char kCold[] = "cold";
constexpr char kStart[] = "born";

// Indices in the list that encodes a report.
constexpr size_t kLeft = 0;
constexpr size_t kSource = 1;
constexpr size_t kEra = 2;
constexpr size_t kNumber = 3;
constexpr size_t kAge = 4;
constexpr size_t kReportFields = 5;

constexpr auto kLastSource = static_cast<int64_t>(decide::ColdSource::kAnswer);
/// Upper bound of an age in milliseconds, so that no arithmetic on it
/// overflows.
constexpr int64_t kMaxAge = 1'000'000'000'000;

boost::leaf::error_id BadReport() {
  return model::BadField(kCold, "a cold time, its source, revision and age");
}

}  // namespace

void EncodeCold(json::object& object, const std::optional<ColdReport>& report) {
  if (!report)
    return;
  object[kCold] = json::array{
      ToMilliseconds(report->m_left), static_cast<int64_t>(report->m_source),
      report->m_revision.m_era, report->m_revision.m_number,
      std::min(kMaxAge, ToMilliseconds(report->m_age))};
}

Result<std::optional<ColdReport>> DecodeCold(const json::object& object) {
  const json::value* value = object.if_contains(kCold);
  if (!value)
    return std::optional<ColdReport>();
  const json::array* list = value->if_array();
  if (!list || list->size() != kReportFields)
    return BadReport();
  std::array<int64_t, kReportFields> numbers{};
  for (size_t i = 0; i < kReportFields; ++i) {
    const int64_t* number = list->at(i).if_int64();
    if (!number || *number < 0)
      return BadReport();
    numbers[i] = *number;
  }
  ColdReport report;
  report.m_left = std::chrono::milliseconds(
      std::min(numbers[kLeft], ToMilliseconds(decide::kMaxColdTime) + 1));
  if (!decide::IsValidColdTime(report.m_left) ||
      numbers[kSource] > kLastSource || numbers[kAge] > kMaxAge)
    return BadReport();
  report.m_source = static_cast<decide::ColdSource>(numbers[kSource]);
  report.m_revision = {static_cast<uint64_t>(numbers[kEra]),
                       static_cast<uint64_t>(numbers[kNumber])};
  report.m_age = std::chrono::milliseconds(numbers[kAge]);
  return std::optional<ColdReport>(report);
}

void EncodeStart(json::object& object, uint64_t started_ms) {
  if (started_ms > 0)
    object[kStart] = started_ms;
}

Result<uint64_t> DecodeStart(const json::object& object) {
  return model::NumberFieldOr(object, kStart, 0);
}

}  // namespace verbenalead::links
