#include "base/lenient_json.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <cstdint>
#include <optional>

namespace verbenalead {
namespace {

namespace json = boost::json;

constexpr std::string_view kEscapes = "\"\\/bfnrtu";
constexpr size_t kHexDigits = 4;
/// Length of an escape of four digits, such as \ud800.
constexpr size_t kEscapeSize = 2 + kHexDigits;
constexpr uint32_t kFirstSurrogate = 0xD800;
constexpr uint32_t kFirstTrailingSurrogate = 0xDC00;
constexpr uint32_t kLastSurrogate = 0xDFFF;

bool IsControl(char c) {
  return static_cast<unsigned char>(c) < ' ' || c == '\x7F';
}

/// The code unit of the escape that `text` begins with; nothing if it begins
/// with none.
std::optional<uint32_t> EscapedUnit(std::string_view text) {
  if (text.size() < kEscapeSize || !text.starts_with("\\u"))
    return std::nullopt;
  const char* begin = text.data() + 2;
  uint32_t unit = 0;
  const auto [end, error] =
      std::from_chars(begin, begin + kHexDigits, unit, 16);
  if (error != std::errc() || end != begin + kHexDigits)
    return std::nullopt;
  return unit;
}

bool IsSurrogate(uint32_t unit) {
  return unit >= kFirstSurrogate && unit <= kLastSurrogate;
}

bool IsTrailingSurrogate(uint32_t unit) {
  return unit >= kFirstTrailingSurrogate && unit <= kLastSurrogate;
}

/// The three bytes that UTF-8 would have for `unit`.
std::string BytesOf(uint32_t unit) {
  return {static_cast<char>(0xE0 | unit >> 12),
          static_cast<char>(0x80 | (unit >> 6 & 0x3F)),
          static_cast<char>(0x80 | (unit & 0x3F))};
}

std::string EscapeControl(char c) {
  constexpr char kDigits[] = "0123456789abcdef";
  return {'\\', 'u', '0', '0', kDigits[c >> 4 & 0xF], kDigits[c & 0xF]};
}

/// Reads one escape, or one pair of surrogates, at the beginning of `rest` and
/// appends it to `repaired`, as bytes if it is half a pair. Returns its size.
size_t RepairEscape(std::string_view rest, std::string& repaired) {
  const auto unit = EscapedUnit(rest);
  if (unit && IsSurrogate(*unit)) {
    const auto next = EscapedUnit(rest.substr(kEscapeSize));
    if (IsTrailingSurrogate(*unit) || !next || !IsTrailingSurrogate(*next)) {
      repaired += BytesOf(*unit);
      return kEscapeSize;
    }
    repaired += rest.substr(0, 2 * kEscapeSize);
    return 2 * kEscapeSize;
  }
  const bool known = rest.size() > 1 &&
                     kEscapes.find(rest[1]) != std::string_view::npos &&
                     (rest[1] != 'u' || unit);
  if (!known) {
    repaired += "\\\\";
    return 1;
  }
  repaired += rest.substr(0, 2);
  return 2;
}

/// Returns `text` with the texts in it changed so that a parser accepts them.
std::string RepairTexts(std::string_view text) {
  std::string repaired;
  repaired.reserve(text.size());
  bool quoted = false;
  for (size_t at = 0; at < text.size();) {
    if (quoted && text[at] == '\\') {
      at += RepairEscape(text.substr(at), repaired);
      continue;
    }
    if (text[at] == '"')
      quoted = !quoted;
    if (quoted && IsControl(text[at]))
      repaired += EscapeControl(text[at]);
    else
      repaired += text[at];
    ++at;
  }
  return repaired;
}

/// Size of the character that `text` begins with; 0 if it isn't UTF-8.
size_t CharacterSize(std::string_view text) {
  const auto byte = [&](size_t at) {
    return at < text.size() ? static_cast<unsigned char>(text[at]) : 0;
  };
  const auto continues = [&](size_t at) { return (byte(at) & 0xC0) == 0x80; };
  const unsigned char first = byte(0);
  if (first < 0x80)
    return 1;
  if (first >= 0xC2 && first <= 0xDF)
    return continues(1) ? 2 : 0;
  if (first >= 0xE0 && first <= 0xEF) {
    const bool too_long = first == 0xE0 && byte(1) < 0xA0;
    const bool surrogate = first == 0xED && byte(1) >= 0xA0;
    return continues(1) && continues(2) && !too_long && !surrogate ? 3 : 0;
  }
  if (first >= 0xF0 && first <= 0xF4) {
    const bool too_long = first == 0xF0 && byte(1) < 0x90;
    const bool too_large = first == 0xF4 && byte(1) >= 0x90;
    return continues(1) && continues(2) && continues(3) && !too_long &&
                   !too_large
               ? 4
               : 0;
  }
  return 0;
}

}  // namespace

json::value ParseLenientJson(std::string_view text,
                             boost::system::error_code& error) {
  json::value value = json::parse(text, error);
  if (!error)
    return value;
  json::parse_options options;
  options.allow_invalid_utf8 = true;
  return json::parse(RepairTexts(text), error, {}, options);
}

bool IsPrintableText(std::string_view text) {
  if (std::any_of(text.begin(), text.end(), IsControl))
    return false;
  while (!text.empty()) {
    const size_t size = CharacterSize(text);
    if (size == 0)
      return false;
    text.remove_prefix(size);
  }
  return true;
}

}  // namespace verbenalead
