#include "base/log.h"

#include <fcntl.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <mutex>

namespace verbenalead {
namespace {

/// Writes log lines to a file descriptor without blocking.
///
/// With a blocking descriptor, a log reader that falls behind would block the
/// process in write() and stall all calls in it. The descriptor is therefore
/// set to O_NONBLOCK; lines that it does not accept are dropped and counted.
class DroppingSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  explicit DroppingSink(int descriptor) : m_descriptor(descriptor) {
    ::fcntl(m_descriptor, F_SETFL, ::fcntl(m_descriptor, F_GETFL) | O_NONBLOCK);
  }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (m_dropped > 0) {
      const std::string notice =
          "event=log_lines_dropped count=" + std::to_string(m_dropped) + "\n";
      if (Write(notice.data(), notice.size()))
        m_dropped = 0;
    }
    if (!Write(line.data(), line.size()))
      ++m_dropped;
  }
  void flush_() override {}

 private:
  /// Returns whether at least a part of the data was written. The rest of a
  /// partly written line is lost, and the next line is appended to that part.
  bool Write(const char* data, size_t size) {
    return ::write(m_descriptor, data, size) > 0;
  }

  const int m_descriptor;
  uint64_t m_dropped = 0;
};

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

void StartLog(const std::string& program,
              const std::string& level,
              LogTarget target) {
  spdlog::drop(program);
  auto logger =
      target == LogTarget::kStandardOutput
          ? std::make_shared<spdlog::logger>(
                program, std::make_shared<DroppingSink>(STDOUT_FILENO))
          : spdlog::stderr_logger_mt(program);
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l program=%n %v",
                      spdlog::pattern_time_type::utc);
  logger->set_level(spdlog::level::from_str(level));
  if (target == LogTarget::kStandardError)
    logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(logger);
}

}  // namespace verbenalead
