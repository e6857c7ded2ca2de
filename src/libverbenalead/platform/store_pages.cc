#include "platform/store_pages.h"

#include <boost/json.hpp>

#include "base/base64.h"
#include "base/catch_failure.h"
#include "base/lenient_json.h"
#include "base/log.h"
#include "platform/json_read.h"

namespace verbenalead::platform {
namespace {

namespace json = boost::json;

/// Parts of a table in one answer, unless they are the last ones.
constexpr size_t kPartsPerPage = 1000;

/// Reads what a row holds besides its key.
Row ReadRow(const json::object& object, std::string key, uint64_t era) {
  const json::value* revision = object.if_contains("ver");
  Row row;
  row.m_key = std::move(key);
  if (revision && revision->is_int64())
    row.m_revision = {era, static_cast<uint64_t>(revision->as_int64())};
  const json::value* deleted = object.if_contains("deleted");
  if (deleted && (!deleted->is_bool() || deleted->as_bool())) {
    row.m_deleted = true;
    return row;
  }
  const json::value* text = object.if_contains("value");
  if (!text || !text->is_string())
    return row;
  auto bytes = CatchFailure([&] { return DecodeBase64(text->as_string()); });
  if (!bytes) {
    LogLine("bad_row").With("key", row.m_key).With(bytes.error()).Warn();
    return row;
  }
  row.m_value = std::move(*bytes);
  return row;
}

/// Reads `value`, and adds it to `page` if it is a row whose key is a text.
/// Other programs may write arbitrary rows to a table, and one that can't be
/// read must not hide the others. The page goes on after its key all the same.
void ReadRowInto(RowsPage& page, const json::value& value, uint64_t era) {
  const json::object* object = value.if_object();
  const auto key = object ? ReadText(*object, "key") : std::nullopt;
  if (!key)
    return;
  if (!page.m_facts.m_first_key)
    page.m_facts.m_first_key = key;
  page.m_facts.m_last_key = key;
  if (!IsPrintableText(*key)) {
    page.m_left_out.push_back(*key);
    return;
  }
  page.m_rows.m_rows.push_back(ReadRow(*object, *key, era));
  page.m_facts.m_bytes +=
      key->size() + page.m_rows.m_rows.back().m_value.size();
}

}  // namespace

std::optional<RowsPage> DecodeRowsPage(const std::string& body, uint64_t era) {
  boost::system::error_code error;
  const json::value value = ParseLenientJson(body, error);
  const json::object* object = error ? nullptr : value.if_object();
  if (!object)
    return std::nullopt;
  const json::value* revision = object->if_contains("ver");
  const auto time = ReadMilliseconds(*object, "now_ms");
  const json::value* rows = object->if_contains("rows");
  if (!revision || !revision->is_int64() || !time || !rows || !rows->is_array())
    return std::nullopt;
  RowsPage page;
  page.m_rows.m_revision = {era, static_cast<uint64_t>(revision->as_int64())};
  page.m_rows.m_store_time = *time;
  for (const json::value& entry : rows->as_array())
    ReadRowInto(page, entry, era);
  page.m_facts.m_has_more = ReadFlag(*object, "has_more").value_or(false);
  return page;
}

std::optional<PartsPage> DecodePartsPage(const std::string& body) {
  boost::system::error_code error;
  const json::value value = ParseLenientJson(body, error);
  const json::object* object = error ? nullptr : value.if_object();
  const json::array* list = object ? ReadList(*object, "parts") : nullptr;
  if (!list)
    return std::nullopt;
  PartsPage page;
  for (const json::value& part : *list) {
    if (part.is_string())
      page.m_parts.emplace_back(part.as_string());
  }
  // The store needn't state whether there are more.
  page.m_has_more = list->size() >= kPartsPerPage ||
                    ReadFlag(*object, "has_more").value_or(false);
  return page;
}

}  // namespace verbenalead::platform
