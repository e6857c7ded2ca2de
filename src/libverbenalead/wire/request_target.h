#ifndef VERBENALEAD_WIRE_REQUEST_TARGET_H_
#define VERBENALEAD_WIRE_REQUEST_TARGET_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalead::wire {

/// Returns `text` with all bytes percent-encoded, apart from letters, digits
/// and
/// "-._~". Also for log lines, as it shows each byte of a name.
std::string PercentEncode(std::string_view text);

/// Builds the target of a request: a path and the fields of a query. All
/// segments, names and values are percent-encoded.
///
/// Failure: a name from outside holds characters such as '&', '+', '#', '%' or
/// a blank and is put into a target as it is. Symptom: the server reads another
/// name, or rejects the request.
///
///     RequestTarget("/v1/items").Field("after", name).Build()
class RequestTarget {
 public:
  /// `path` is used as it is.
  explicit RequestTarget(std::string_view path) : m_text(path) {}

  /// Appends '/' and `name` as one segment of the path. Segments come before
  /// fields.
  RequestTarget& Segment(std::string_view name);
  RequestTarget& Segment(uint64_t number);
  RequestTarget& Field(std::string_view name, std::string_view value);
  RequestTarget& Field(std::string_view name, uint64_t number);

  std::string Build() const { return m_text; }

 private:
  std::string m_text;
  bool m_has_fields = false;
};

/// Returns the segments of `path` after `prefix`, decoded. Empty if `path`
/// doesn't begin with `prefix` or an escape is malformed. "/v1/trace/a%2Fb"
/// after "/v1/trace/" has the segment "a/b".
std::vector<std::string> SegmentsAfter(std::string_view path,
                                       std::string_view prefix);

/// Returns what follows `prefix` in `path` as one decoded name; empty if there
/// is none. A name with '/' may stand encoded or as it is.
std::string NameAfter(std::string_view path, std::string_view prefix);

}  // namespace verbenalead::wire

#endif  // VERBENALEAD_WIRE_REQUEST_TARGET_H_
