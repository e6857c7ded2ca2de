#include "front/trace_summary.h"

namespace verbenalead::front {
namespace {

/// Returns the value of `key` in `line`. Enclosing quotes are removed, escapes
/// are kept.
std::string ValueOf(const std::string& line, const std::string& key) {
  const std::string mark = " " + key + "=";
  const size_t at = line.find(mark);
  if (at == std::string::npos)
    return "";
  const size_t begin = at + mark.size();
  if (begin < line.size() && line[begin] == '"') {
    size_t end = begin + 1;
    while (end < line.size() && line[end] != '"')
      end += line[end] == '\\' ? 2 : 1;
    return line.substr(begin + 1, end - begin - 1);
  }
  return line.substr(begin, line.find(' ', begin) - begin);
}

std::string RanFor(const std::string& outcome) {
  if (outcome == "completed" || outcome == "failed")
    return "yes";
  return outcome == "refused" ? "no" : "unknown";
}

void Append(std::string& summary,
            const std::string& words,
            const std::string& value) {
  if (!value.empty())
    summary += ", " + words + value;
}

std::string FromOutcome(const std::string& line) {
  const std::string outcome = ValueOf(line, "outcome");
  const std::string attempts = ValueOf(line, "attempts");
  std::string summary = "ran: " + RanFor(outcome);
  Append(summary, "on ", ValueOf(line, "target"));
  Append(summary, "version ", ValueOf(line, "version"));
  if (!attempts.empty())
    summary += ", " + attempts + (attempts == "1" ? " attempt" : " attempts");
  Append(summary, "outcome ", outcome);
  Append(summary, "reason ", ValueOf(line, "reason"));
  return summary;
}

}  // namespace

std::string SummarizeTrace(const std::vector<std::string>& lines) {
  std::string entered;
  std::string outcome;
  for (const std::string& line : lines) {
    if (line.find(" event=outcome ") != std::string::npos)
      outcome = line;
    if (line.find(" event=entered ") != std::string::npos)
      entered = line;
  }
  if (!outcome.empty())
    return FromOutcome(outcome);
  if (entered.empty())
    return "ran: unknown, no line tells that a target let it in";
  std::string summary = "ran: at least begun";
  Append(summary, "on ", ValueOf(entered, "target"));
  Append(summary, "version ", ValueOf(entered, "digest"));
  return summary + ", no line tells the outcome";
}

}  // namespace verbenalead::front
