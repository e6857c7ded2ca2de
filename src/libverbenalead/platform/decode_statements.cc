#include "platform/decode_statements.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include "platform/names.h"

namespace verbenalead::platform {
namespace {

constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

/// Upper bound of a rate limit, in requests per second: far above what a
/// replica serves, and small enough for all arithmetic on rates.
constexpr double kMaxRateLimit = 1e6;

/// Reads a finite decimal number; nothing if `text` is none.
std::optional<double> ParseDecimal(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(
      text.data(), text.data() + text.size(), value, std::chars_format::fixed);
  if (error != std::errc() || end != text.data() + text.size() ||
      !std::isfinite(value))
    return std::nullopt;
  return value;
}

/// A negative limit means the same as zero.
bool ReadRateLimit(const std::string& text,
                   const wire::ResponseHead&,
                   model::ReplicaStatements& statements) {
  const auto rate = ParseDecimal(text);
  if (rate)
    statements.m_rate_limit = std::clamp(*rate, 0.0, kMaxRateLimit);
  return rate.has_value();
}

/// A time beyond a century is read as one: it can't be used either way, and the
/// log names it.
bool ReadColdLeft(const std::string& text,
                  const wire::ResponseHead&,
                  model::ReplicaStatements& statements) {
  constexpr double kLargest = 4e12;
  const auto left = ParseDecimal(text);
  if (left) {
    statements.m_cold_left = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(
            std::clamp(*left, -kLargest, kLargest)));
  }
  return left.has_value();
}

bool ReadLeaving(const std::string& text,
                 const wire::ResponseHead&,
                 model::ReplicaStatements& statements) {
  statements.m_leaving = text == "1";
  return text == "1" || text == "0";
}

/// In an answer with another status the field tells a caller when to come back.
/// It is a number of seconds; the platform sends no dates.
bool ReadRest(const std::string& text,
              const wire::ResponseHead& head,
              model::ReplicaStatements& statements) {
  if (head.m_status != kUnavailable && head.m_status != kTooManyRequests)
    return true;
  const auto seconds = ParseDecimal(text);
  if (!seconds || *seconds < 0)
    return false;
  const double longest = std::chrono::duration<double>(kMaxRest).count();
  if (*seconds > 0) {
    statements.m_rest = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::min(*seconds, longest)));
  }
  return true;
}

/// A header field, under one of two names, and how to read its text. The
/// reader returns false if the text is malformed.
struct StatementField {
  std::array<const char*, 2> m_names;
  bool (*m_read)(const std::string& text,
                 const wire::ResponseHead& head,
                 model::ReplicaStatements& statements);
};

constexpr std::array<StatementField, 4> kFields = {{
    {{kRateLimit, kPrefixedRateLimit}, ReadRateLimit},
    {{kColdLeft, kPrefixedColdLeft}, ReadColdLeft},
    {{kLeaving, kPrefixedLeaving}, ReadLeaving},
    {{kRetryAfter, kRetryAfter}, ReadRest},
}};

}  // namespace

model::ReplicaStatements DecodeStatements(const wire::ResponseHead& head) {
  model::ReplicaStatements statements;
  for (const StatementField& field : kFields) {
    for (const char* name : field.m_names) {
      const std::string text = wire::Get(head.m_headers, name);
      if (text.empty())
        continue;
      if (!field.m_read(text, head, statements))
        statements.m_malformed.emplace_back(name);
      break;
    }
  }
  return statements;
}

bool IsStatement(const std::string& name) {
  return std::any_of(
      kFields.begin(), kFields.end(), [&](const StatementField& field) {
        return std::find(field.m_names.begin(), field.m_names.end(), name) !=
               field.m_names.end();
      });
}

}  // namespace verbenalead::platform
