#include "base/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace verbenalead {
namespace {

bool NeedsQuotes(std::string_view value) {
  if (value.empty())
    return true;
  for (unsigned char c : value) {
    if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f)
      return true;
  }
  return false;
}

void AppendEscaped(std::string& out, unsigned char c) {
  constexpr char kHex[] = "0123456789abcdef";
  if (c == '"' || c == '\\') {
    out += '\\';
    out += static_cast<char>(c);
  } else if (c == '\n') {
    out += "\\n";
  } else if (c < ' ' || c == 0x7f) {
    out += "\\x";
    out += kHex[c >> 4];
    out += kHex[c & 15];
  } else {
    out += static_cast<char>(c);
  }
}

}  // namespace

std::string EscapeLogValue(std::string_view value) {
  if (!NeedsQuotes(value))
    return std::string(value);
  std::string out = "\"";
  for (unsigned char c : value)
    AppendEscaped(out, c);
  out += '"';
  return out;
}

LogLine::LogLine(std::string_view event) : m_text("event=") {
  m_text += EscapeLogValue(event);
}

LogLine& LogLine::With(std::string_view key, std::string_view value) {
  m_text += ' ';
  m_text += key;
  m_text += '=';
  m_text += EscapeLogValue(value);
  return *this;
}

LogLine& LogLine::With(std::string_view key, const char* value) {
  return With(key, std::string_view(value));
}

LogLine& LogLine::With(std::string_view key, int64_t value) {
  return With(key, std::string_view(std::to_string(value)));
}

LogLine& LogLine::With(std::string_view key, uint64_t value) {
  return With(key, std::string_view(std::to_string(value)));
}

LogLine& LogLine::With(std::string_view key, int value) {
  return With(key, static_cast<int64_t>(value));
}

LogLine& LogLine::With(std::string_view key, double value) {
  return With(key, std::string_view(fmt::format("{:.3f}", value)));
}

LogLine& LogLine::With(std::string_view key, bool value) {
  return With(key, value ? "true" : "false");
}

LogLine& LogLine::With(const Failure& failure) {
  return With("step", std::string_view(failure.m_step))
      .With("peer", std::string_view(failure.m_peer))
      .With("error", ToString(failure.m_code))
      .With("reason", std::string_view(failure.m_reason));
}

void LogLine::Debug() const {
  spdlog::debug("{}", m_text);
}

void LogLine::Info() const {
  spdlog::info("{}", m_text);
}

void LogLine::Warn() const {
  spdlog::warn("{}", m_text);
}

void LogLine::Error() const {
  spdlog::error("{}", m_text);
}

void StartLog(const std::string& program, const std::string& level) {
  auto logger = spdlog::stderr_logger_mt(program);
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l program=%n %v",
                      spdlog::pattern_time_type::utc);
  logger->set_level(spdlog::level::from_str(level));
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(logger);
}

}  // namespace verbenalead
