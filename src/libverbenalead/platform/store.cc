#include "platform/store.h"

#include <boost/json.hpp>
#include <charconv>

#include "base/base64.h"
#include "base/boot_clock.h"
#include "base/catch_failure.h"
#include "base/log.h"
#include "platform/json_read.h"
#include "platform/names.h"

namespace verbenalead::platform {
namespace {

namespace json = boost::json;

/// Longest wait for an answer beyond the long-poll wait stated in the request,
/// and longest pause within an answer. An answer usually takes 4 ms; one that
/// takes 60 times as long must still be accepted.
constexpr Duration kAnswerTimeout = 800ms;

/// Longest time for a whole answer, beyond the long-poll wait stated in the
/// request.
constexpr Duration kTotalTimeout = 8s;

/// Longest answer: 1 MB of rows, or the rows of a table's changes.
constexpr size_t kMaxAnswerBytes = size_t{16} << 20;

constexpr int kOk = 200;
constexpr int kPreconditionFailed = 412;
constexpr int kGone = 410;
constexpr int kForbidden = 403;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

Failure StatusFailure(const std::string& step,
                      const Endpoint& endpoint,
                      int status) {
  FailureCode code = FailureCode::kBroken;
  if (status == kGone)
    code = FailureCode::kNotFound;
  else if (status == kPreconditionFailed)
    code = FailureCode::kConflict;
  else if (status == kTooManyRequests || status == kUnavailable ||
           status == kForbidden)
    code = FailureCode::kRefused;
  return Failure{code, step, ToString(endpoint),
                 "status " + std::to_string(status)};
}

/// Adds to `failure` the page of a table that could not be read.
Failure AtPage(Failure failure, int number, const std::string& from) {
  failure.m_reason +=
      "; page " + std::to_string(number) + " from key '" + from + "'";
  return failure;
}

/// The era that an answer of the store states; 0 if it states none.
uint64_t EraOf(const wire::Response& response) {
  const std::string text = wire::Get(response.m_headers, kStoreEra);
  uint64_t era = 0;
  std::from_chars(text.data(), text.data() + text.size(), era);
  return era;
}

/// Returns a row, or nothing if it has no key. Other programs may write
/// arbitrary rows to a table, and a malformed one must not hide the others.
std::optional<Row> ReadRow(const json::value& value, uint64_t era) {
  const json::object* object = value.if_object();
  if (!object)
    return std::nullopt;
  const json::value* key = object->if_contains("key");
  const json::value* revision = object->if_contains("ver");
  if (!key || !key->is_string())
    return std::nullopt;
  Row row;
  row.m_key = std::string(key->as_string());
  if (revision && revision->is_int64())
    row.m_revision = {era, static_cast<uint64_t>(revision->as_int64())};
  const json::value* deleted = object->if_contains("deleted");
  if (deleted && (!deleted->is_bool() || deleted->as_bool())) {
    row.m_deleted = true;
    return row;
  }
  const json::value* text = object->if_contains("value");
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

struct Page {
  Rows m_rows;
  bool m_has_more = false;
};

std::optional<Page> ReadPage(const std::string& body, uint64_t era) {
  boost::system::error_code error;
  const json::value value = json::parse(body, error);
  const json::object* object = error ? nullptr : value.if_object();
  if (!object)
    return std::nullopt;
  const json::value* revision = object->if_contains("ver");
  const auto time = ReadMilliseconds(*object, "now_ms");
  const json::value* rows = object->if_contains("rows");
  if (!revision || !revision->is_int64() || !time || !rows || !rows->is_array())
    return std::nullopt;
  Page page;
  page.m_rows.m_revision = {era, static_cast<uint64_t>(revision->as_int64())};
  page.m_rows.m_store_time = *time;
  for (const json::value& entry : rows->as_array()) {
    if (auto row = ReadRow(entry, era))
      page.m_rows.m_rows.push_back(std::move(*row));
  }
  const json::value* more = object->if_contains("has_more");
  page.m_has_more = more && more->is_bool() && more->as_bool();
  return page;
}

std::optional<std::vector<std::string>> ReadParts(const std::string& body) {
  boost::system::error_code error;
  const json::value value = json::parse(body, error);
  const json::object* object = error ? nullptr : value.if_object();
  const json::value* list = object ? object->if_contains("parts") : nullptr;
  if (!list || !list->is_array())
    return std::nullopt;
  std::vector<std::string> parts;
  for (const json::value& part : list->as_array()) {
    if (part.is_string())
      parts.emplace_back(part.as_string());
  }
  return parts;
}

wire::Request PostRequest(std::string body) {
  wire::Request request;
  request.m_method = "POST";
  request.m_path = "/rows-tx";
  request.m_headers["content-type"] = "application/json";
  request.m_body = std::move(body);
  return request;
}

}  // namespace

Awaitable<AsyncResult<Rows>> Store::ReadTable(std::string table,
                                              std::string part) {
  Rows all;
  std::string from;
  int number = 1;
  while (true) {
    std::string path = "/rows-get?table=" + table + "&part=" + part;
    if (!from.empty())
      path += "&from=" + from;
    bool has_more = false;
    auto page = co_await Read(table, std::move(path), Duration(), &has_more);
    if (!page)
      co_return AtPage(page.error(), number, from);
    ++number;
    // Rows of later pages may be newer than the revision of the first page.
    // Returning the first page's revision makes the follower read the changes
    // after it again, which is harmless; with a later one it would miss changes
    // of rows on earlier pages.
    if (from.empty()) {
      all.m_asked_at = page->m_asked_at;
      all.m_store_time = page->m_store_time;
      all.m_revision = page->m_revision;
    }
    if (page->m_revision.m_era != all.m_revision.m_era) {
      co_return Failure{FailureCode::kBroken, "GET /rows-get",
                        ToString(m_endpoint),
                        "the store came back from a copy between two pages"};
    }
    for (Row& row : page->m_rows)
      all.m_rows.push_back(std::move(row));
    if (!has_more || all.m_rows.empty())
      co_return all;
    from = all.m_rows.back().m_key + "%01";
  }
}

Awaitable<AsyncResult<std::vector<std::string>>> Store::ListParts(
    std::string table) {
  wire::Request request;
  request.m_path = "/rows-parts?table=" + table;
  const std::string step = "GET /rows-parts";
  auto response = co_await wire::Fetch(m_http, m_endpoint, std::move(request),
                                       Now() + kAnswerTimeout, kMaxAnswerBytes);
  if (!response)
    co_return response.error();
  if (response->m_status != kOk)
    co_return StatusFailure(step, m_endpoint, response->m_status);
  auto parts = ReadParts(response->m_body);
  if (!parts) {
    co_return Failure{FailureCode::kCorrupt, step, ToString(m_endpoint),
                      "the answer is no list of parts"};
  }
  co_return std::move(*parts);
}

Awaitable<AsyncResult<Rows>> Store::ReadChanges(std::string table,
                                                model::Revision revision,
                                                Duration wait) {
  bool has_more = false;
  const std::string path = "/rows-feed?table=" + table +
                           "&after_rev=" + std::to_string(revision.m_number) +
                           "&wait_ms=" + std::to_string(ToMilliseconds(wait));
  co_return co_await Read(std::move(table), path, wait, &has_more);
}

Awaitable<AsyncResult<Rows>> Store::Read(std::string table,
                                         std::string path,
                                         Duration wait,
                                         bool* has_more) {
  const std::string label = "table=\"" + table + "\"";
  m_metrics.Count("store_pages_total", label);
  wire::Request request;
  request.m_path = std::move(path);
  const std::string step = "GET " + wire::PathOf(request);
  const Duration requested_at = BootNow();
  const wire::ProgressTimeouts timeouts = {
      wait + kAnswerTimeout, kAnswerTimeout, wait + kTotalTimeout};
  auto response = co_await wire::FetchByProgress(
      m_http, m_endpoint, std::move(request), timeouts, kMaxAnswerBytes);
  if (!response) {
    m_metrics.Count("store_reads_failed_total", label);
    co_return response.error();
  }
  if (response->m_status != kOk) {
    m_metrics.Count("store_reads_failed_total", label);
    co_return StatusFailure(step, m_endpoint, response->m_status);
  }
  auto page = ReadPage(response->m_body, EraOf(*response));
  if (!page) {
    m_metrics.Count("store_reads_failed_total", label);
    co_return Failure{FailureCode::kCorrupt, step, ToString(m_endpoint),
                      "the answer is no list of rows"};
  }
  page->m_rows.m_asked_at = requested_at;
  *has_more = page->m_has_more;
  co_return std::move(page->m_rows);
}

Awaitable<AsyncResult<bool>> Store::Write(std::string table,
                                          std::string part,
                                          std::string key,
                                          std::string value) {
  json::object row = {{"table", table},
                      {"part", part},
                      {"key", key},
                      {"value", EncodeBase64(value)}};
  json::object body = {{"precondition", json::array()},
                       {"writes", json::array({std::move(row)})},
                       {"remove", json::array()}};
  co_return co_await Transact(json::serialize(body));
}

Awaitable<AsyncResult<bool>> Store::Transact(std::string body) {
  auto response =
      co_await wire::Fetch(m_http, m_endpoint, PostRequest(std::move(body)),
                           Now() + kAnswerTimeout, kMaxAnswerBytes);
  if (!response)
    co_return response.error();
  if (response->m_status != kOk)
    co_return StatusFailure("POST /rows-tx", m_endpoint, response->m_status);
  co_return true;
}

}  // namespace verbenalead::platform
