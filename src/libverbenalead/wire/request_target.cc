#include "wire/request_target.h"

#include <algorithm>
#include <boost/url/decode_view.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/pct_string_view.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <optional>

namespace verbenalead::wire {
namespace {

/// Returns `text` without its escapes; nothing if one is malformed.
std::optional<std::string> Decode(std::string_view text) {
  const auto encoded = boost::urls::make_pct_string_view(text);
  if (!encoded)
    return std::nullopt;
  std::string decoded;
  for (const char c : **encoded)
    decoded += c;
  return decoded;
}

}  // namespace

std::string PercentEncode(std::string_view text) {
  return boost::urls::encode(text, boost::urls::unreserved_chars);
}

RequestTarget& RequestTarget::Segment(std::string_view name) {
  m_text += '/';
  m_text += PercentEncode(name);
  return *this;
}

RequestTarget& RequestTarget::Segment(uint64_t number) {
  return Segment(std::to_string(number));
}

RequestTarget& RequestTarget::Field(std::string_view name,
                                    std::string_view value) {
  m_text += m_has_fields ? '&' : '?';
  m_has_fields = true;
  m_text += PercentEncode(name);
  m_text += '=';
  m_text += PercentEncode(value);
  return *this;
}

RequestTarget& RequestTarget::Field(std::string_view name, uint64_t number) {
  return Field(name, std::to_string(number));
}

std::vector<std::string> SegmentsAfter(std::string_view path,
                                       std::string_view prefix) {
  std::vector<std::string> segments;
  if (!path.starts_with(prefix))
    return segments;
  std::string_view rest = path.substr(prefix.size());
  while (!rest.empty()) {
    const size_t slash = std::min(rest.find('/'), rest.size());
    const auto segment = Decode(rest.substr(0, slash));
    if (!segment)
      return {};
    segments.push_back(*segment);
    rest.remove_prefix(std::min(slash + 1, rest.size()));
  }
  return segments;
}

std::string NameAfter(std::string_view path, std::string_view prefix) {
  if (!path.starts_with(prefix))
    return "";
  return Decode(path.substr(prefix.size())).value_or("");
}

}  // namespace verbenalead::wire
