#ifndef VERBENALEAD_BASE_LENIENT_JSON_H_
#define VERBENALEAD_BASE_LENIENT_JSON_H_

#include <boost/json/value.hpp>
#include <string>
#include <string_view>

namespace verbenalead {

/// Parses a JSON document that quotes texts of other writers. `error` is set if
/// it can't be parsed.
///
/// Failure: one of many texts holds what no Unicode text holds, such as the
/// escape of half a surrogate pair, and a strict parser rejects the document.
/// Symptom: one odd name hides all others. Such a text is read as the bytes
/// that it names, so the caller can leave out that text alone. A document
/// that a strict parser accepts is read as that parser reads it.
boost::json::value ParseLenientJson(std::string_view text,
                                    boost::system::error_code& error);

/// Whether `text` is valid UTF-8 without control characters (U+0000 to U+001F
/// and U+007F).
bool IsPrintableText(std::string_view text);

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_LENIENT_JSON_H_
